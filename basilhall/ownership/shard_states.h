// The transitions of a shard object: claim, release and checkpoint. Each function takes the current
// state and returns the state to replace it with.
//
//     const ShardState target = claimedState(view.state, self, firstNumber, lastSealed);
#pragma once

#include "basilhall/journal/batch_codec.h"
#include "basilhall/ownership/shard_codec.h"
#include "basilhall/ownership/shard_owner.h"

#include <optional>

namespace basilhall::ownership
{

// Returns the range that the owner is still writing, or null if the shard has no owner.
const JournalRange *openRange(const ShardState &state);

// Returns the state from which a shard is claimed for the first time.
ShardState initialState(ShardId shard);

// Returns `state` claimed by `owner`, whose records will be in its batches from `firstNumber` on.
// The open range of the previous owner ends at `lastSealed`, or is dropped if it is empty.
ShardState claimedState(const ShardState &state, const ShardOwner &owner,
                        journal::BatchNumber firstNumber, journal::BatchNumber lastSealed);

// Returns `state` without an owner. Its open range ends at `lastNumber`, or is dropped if it is
// empty.
ShardState releasedState(const ShardState &state, journal::BatchNumber lastNumber);

// Returns `state` with a checkpoint of `parts` parts that covers all records up to batch `number`
// of the owner. The only remaining range begins after that batch.
ShardState checkpointedState(const ShardState &state, journal::BatchNumber number,
                             std::uint32_t parts);

} // namespace basilhall::ownership
