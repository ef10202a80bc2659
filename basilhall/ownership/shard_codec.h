// Keys, encoding and validation of the objects `shards/<number>` and `shards/all`.
//
//     const store::ObjectKey key = shardKey(7);
//     Result<ShardState> state = decodeShard(key, data); // Corrupt if the object is invalid
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/journal/record.pb.h"
#include "basilhall/ownership/shard_id.h"
#include "basilhall/store/object_key.h"

#include <string>
#include <string_view>

namespace basilhall::ownership
{

using journal::JournalRange;
using journal::ShardState;

// Object kind of the shard objects.
inline constexpr const char *kShardKind = "shards";

// Returns `shards/<shard>`.
store::ObjectKey shardKey(ShardId shard);

// Returns the object data for `state`.
std::string encodeShard(const ShardState &state);

// Returns the state in `data`. Fails with Corrupt, naming `key`, if the data is truncated, edited,
// of a newer format or of another shard, or if its fields are inconsistent.
Result<ShardState> decodeShard(const store::ObjectKey &key, std::string_view data);

// Returns `shards/all`, the key of the object whose presence means that the object of every shard
// has been created.
store::ObjectKey shardSetKey();

// Returns the data of `shards/all` for `count` shards.
std::string encodeShardSet(std::uint32_t count);

// Returns the number of shards in `data`. Fails with Corrupt, naming the object, if the data is
// invalid.
Result<std::uint32_t> decodeShardSet(std::string_view data);

} // namespace basilhall::ownership
