// Maps a program or a team to its shard.
//
//     shardOf(ProgramId("p1"), 64) == shardOf(ProgramId("p1.sub.2"), 64)
#pragma once

#include "basilhall/base/identifier.h"

#include <cstdint>

namespace basilhall::ownership
{

// Number of a shard, starting at 0. The number of shards of a deployment never changes.
using ShardId = std::uint32_t;

// Returns the shard of `program`. Only the part before the first '.' is hashed, so that a sub-agent
// is in the same shard as its root program. `shardCount` must not be 0.
ShardId shardOf(const ProgramId &program, std::uint32_t shardCount);

// Returns the shard whose owner enforces the limits of `team`. `shardCount` must not be 0.
ShardId shardOf(const TeamName &team, std::uint32_t shardCount);

} // namespace basilhall::ownership
