// Maps the slices of a team's rate limit to the shards whose owners enforce them.
//
// The limit of a larger team is divided into slices that hash to separate shards. If a host fails,
// only part of the team's rate is unavailable until the successor may grant requests.
//
//     for (const TeamSlice &slice : slicesOfShard(*manifest, shard)) { ... }
#pragma once

#include "basilhall/limit/rate.h"
#include "basilhall/limit/slice_key.h"
#include "basilhall/manifest/manifest.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace basilhall::entry
{

// Immutable value.
struct TeamSlice {
    limit::SliceKey key;
    limit::Rate rate;

    auto operator<=>(const TeamSlice &) const = default;
};

// Returns the number of slices of the team's limit, which is the same on every host.
std::uint32_t sliceCount(const manifest::Team &team);

// Returns the shard whose owner enforces the slice. `shardCount` must not be 0.
std::uint32_t shardOfSlice(const limit::SliceKey &slice, std::uint32_t shardCount);

// Returns the slices of all teams that the owner of `shard` enforces.
std::vector<TeamSlice> slicesOfShard(const manifest::Manifest &manifest, std::uint32_t shard);

} // namespace basilhall::entry
