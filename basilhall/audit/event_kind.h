// The closed list of events that the audit trail keeps.
#pragma once

#include <optional>
#include <string_view>

namespace basilhall::audit
{

enum class EventKind {
    // A process put a manifest in force.
    ManifestInForce,
    // A manifest was published.
    Published,
    KeyWithdrawn,
    // A shard was taken over from an owner that did not release it.
    Takeover,
    // A shard was handed over as planned.
    Handover,
    // The journal of another process was sealed.
    Seal,
    // A process or an endpoint drains.
    Drain,
    // A change or an object was refused as damaged or contradicting.
    Refusal,
};

// Returns the stable name, such as "manifest_in_force".
std::string_view toString(EventKind kind);

// Returns the kind named `name`, or nothing if there is none.
std::optional<EventKind> eventKindFromName(std::string_view name);

} // namespace basilhall::audit
