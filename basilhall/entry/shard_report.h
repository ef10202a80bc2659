// Describes an event of a shard on this host, for the log and the audit trail.
//
//     report({ShardEvent::Lost, shard});
#pragma once

#include "basilhall/base/error.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace basilhall::entry
{

enum class ShardEvent {
    // This host became the owner; the records have not been replayed yet.
    Claimed,
    // This host now accepts calls for the shard.
    Served,
    // Another host sealed this host's journal.
    Lost,
    // Released for another host in a planned handover.
    HandedOver,
    // A stored object cannot be used because it is damaged or missing.
    Faulty,
};

// Returns a stable name for audit records.
std::string_view toString(ShardEvent event);

// Immutable value.
struct ShardReport {
    ShardEvent event = ShardEvent::Claimed;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    // Number of replayed records.
    std::uint64_t records = 0;
    // True if the previous owner did not hand the shard over.
    bool isTakeover = false;
    std::optional<Error> error = std::nullopt;

    bool operator==(const ShardReport &) const = default;
};

} // namespace basilhall::entry
