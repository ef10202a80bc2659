// A call that an owner sends to an agent.
#pragma once

#include "basilhall/schedule/queued_call.h"

#include <compare>
#include <cstdint>

namespace basilhall::dispatch
{

// Identifies the stream on which a dispatch arrives. Chosen by the driver, never reused.
using StreamNumber = std::uint64_t;

// Immutable value. `item.callId` identifies one attempt, which runs at most once on any agent.
struct Dispatch {
    schedule::QueuedCall item;
    std::uint32_t shard = 0;
    // Epoch of the owner of the shard.
    std::uint64_t epoch = 0;
    // The incarnation of the agent that may run the call. Any other refuses it.
    Incarnation agentIncarnation;
    bool idempotent = false;

    auto operator<=>(const Dispatch &) const = default;
};

} // namespace basilhall::dispatch
