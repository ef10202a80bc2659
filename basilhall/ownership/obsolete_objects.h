// Determines which objects are no longer needed after a checkpoint.
//
//     for (const store::ObjectKey &key : obsoleteObjects(before, after, all, pendingClaim)) {
//         // Remove the object.
//     }
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/journal/batch_codec.h"
#include "basilhall/ownership/shard_codec.h"
#include "basilhall/store/object_key.h"

#include <optional>
#include <vector>

namespace basilhall::ownership
{

// The batches from `first` on of an incarnation, which a pending claim will refer to. Immutable
// value.
struct PendingClaim {
    Incarnation incarnation;
    journal::BatchNumber first = 0;
};

// Returns the checkpoint parts of `before`, and the batches of its ranges, that are needed neither
// by `after` (the same shard with its new checkpoint), nor by the other shards in `all`, nor by
// `pendingClaim`. `all` must have been read after the object changed to `after`. Seals are never
// removed, because they stop an owner that was paused during its takeover.
std::vector<store::ObjectKey> obsoleteObjects(const ShardState &before, const ShardState &after,
                                              const std::vector<ShardState> &all,
                                              const std::optional<PendingClaim> &pendingClaim);

} // namespace basilhall::ownership
