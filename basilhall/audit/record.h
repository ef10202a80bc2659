// One record of the audit trail.
#pragma once

#include "basilhall/audit/event_kind.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/result.h"
#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace basilhall::audit
{

// Longest subject and detail; longer ones are cut.
inline constexpr std::size_t kMaxTextLength = 300;

// Immutable value. Host, incarnation and number together are unique.
struct Record {
    WallMillis wallMillis = 0;
    HostName host;
    Incarnation incarnation;
    // Rises with each record of the incarnation, from 1.
    std::uint64_t number = 0;
    EventKind kind = EventKind::ManifestInForce;
    // What it is about, such as `shard 7`.
    std::string subject;
    std::string detail;

    auto operator<=>(const Record &) const = default;
};

// Returns one JSON document without a line end.
std::string encodeRecord(const Record &record);
// Corrupt names the fault.
Result<Record> decodeRecord(std::string_view line);

// Returns `2026-01-31T10:00:00Z entry-1 takeover shard 7: from entry-2`.
std::string describe(const Record &record);

} // namespace basilhall::audit
