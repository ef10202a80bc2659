// The owner of a shard: a host, its incarnation and its address.
//
//     const std::optional<ShardOwner> owner = table.owner(shard);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"

#include <compare>
#include <cstdint>

namespace basilhall::ownership
{

// Immutable value.
struct ShardOwner {
    Incarnation incarnation;
    HostName host;
    // Address for requests from peers.
    Address address;
    // Epoch under which the host owns the shard.
    std::uint64_t epoch = 0;

    auto operator<=>(const ShardOwner &) const = default;
};

} // namespace basilhall::ownership
