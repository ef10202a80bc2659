// Rendezvous hashing: every host computes the same ranking of hosts for a shard, and adding or
// removing a host moves only the shards assigned to that host.
//
//     const RendezvousPick pick = rendezvousPick(shard, hosts);
//     // *pick.first should own the shard, *pick.second replaces it if it fails.
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/ownership/shard_id.h"

#include <compare>
#include <optional>
#include <vector>

namespace basilhall::ownership
{

// The two highest ranked hosts for a shard, as far as there are two. Immutable value.
struct RendezvousPick {
    std::optional<HostName> first;
    std::optional<HostName> second;

    auto operator<=>(const RendezvousPick &) const = default;
};

// Returns the two hosts of `hosts` with the highest weight for `shard`.
RendezvousPick rendezvousPick(ShardId shard, const std::vector<HostName> &hosts);

} // namespace basilhall::ownership
