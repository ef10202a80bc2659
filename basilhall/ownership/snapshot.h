// Splits the state of one program into records that fit into objects.
//
//     for (journal::Record &record : splitSnapshot(shard, epoch, snapshot)) { ... }
#pragma once

#include "basilhall/journal/record.pb.h"
#include "basilhall/ownership/shard_id.h"

#include <vector>

namespace basilhall::ownership
{

// Returns `snapshot` as records of `shard`. The first record holds `opened`, the last one the open
// intent and `ended`; the turns are spread over all records in order. A record is at most
// journal::kMaxBatchBytes long, unless a single turn is longer.
std::vector<journal::Record> splitSnapshot(ShardId shard, std::uint64_t epoch,
                                           const journal::ProgramSnapshot &snapshot);

} // namespace basilhall::ownership
