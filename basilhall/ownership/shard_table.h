// Caches the state of all shards: the owner of each and the location of its records.
//
//     ShardTable table(64);
//     table.apply(object); // from a list or a read of `shards/<k>`
//     if (const auto owner = table.owner(shardOf(program, table.shardCount()))) {
//         // Forward the call to owner->address.
//     }
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/ownership/shard_codec.h"
#include "basilhall/ownership/shard_owner.h"
#include "basilhall/store/object.h"

#include <map>
#include <optional>

namespace basilhall::ownership
{

// Not thread-safe. The cached states may be out of date, so changes based on them must use
// conditional updates.
class ShardTable
{
public:
    // The last known state of a shard, and the version of the object that held it.
    struct View {
        ShardState state;
        store::ResourceVersion version;
    };

    explicit ShardTable(std::uint32_t shardCount);

    // Updates the table from an object. A state older than the cached one is ignored. Fails with
    // Corrupt, naming the object, if the object is invalid; the cached state is then kept.
    Result<void> apply(const store::Object &object);
    // Records that all shards have been listed at least once: shards that are not in the table had
    // no object then.
    void setComplete() { m_complete = true; }
    // True if all shards have been listed, unless `shards/all` holds another number of shards.
    bool isComplete() const { return m_complete && !m_hasOtherShardCount; }
    // True once `shards/all` was seen: the object of every shard has been created, so a missing one
    // was removed.
    bool isInitialized() const { return m_isInitialized; }

    std::uint32_t shardCount() const { return m_shardCount; }
    // Returns the last known state of `shard`, or null if there is none.
    const View *find(ShardId shard) const;
    const std::map<ShardId, View> &views() const { return m_views; }
    // Returns the owner of `shard`, or std::nullopt if it has none or its state is unknown.
    std::optional<ShardOwner> owner(ShardId shard) const;
    // Shards whose object is invalid or missing, with an error that names the object.
    const std::map<ShardId, Error> &faults() const { return m_faults; }
    // Records that the object of `shard` is missing.
    void markMissing(ShardId shard);
    // Increases with every change of a state and every markMissing().
    std::uint64_t revision() const { return m_revision; }

private:
    Result<void> applySet(const store::Object &object);

    std::uint32_t m_shardCount;
    std::map<ShardId, View> m_views;
    std::map<ShardId, Error> m_faults;
    bool m_complete = false;
    bool m_hasOtherShardCount = false;
    bool m_isInitialized = false;
    std::uint64_t m_revision = 0;
};

} // namespace basilhall::ownership
