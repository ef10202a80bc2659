// Keeps a ShardTable up to date: lists all shards at the start and periodically, and reads single
// shards on demand.
//
//     ShardTableReader reader(table, ids);
//     reader.refresh(shard); // after a NotOwner, or when a peer reports that it released the shard
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/ownership/shard_table.h"
#include "basilhall/store/backoff.h"
#include "basilhall/store/operation.h"
#include "basilhall/store/operation_id_source.h"
#include "basilhall/store/outcome.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace basilhall::ownership
{

// Also creates `shards/all` once every shard has an object.
//
// Not thread-safe. At most one list and kMaxParallelReads reads are outstanding.
class ShardTableReader
{
public:
    // Time between two lists. A list of 1,020 shards is about 150 KB, so lists must be rare.
    static constexpr Duration kListInterval = std::chrono::seconds(30);
    static constexpr std::size_t kMaxParallelReads = 8;

    // `table` and `ids` must outlive the reader.
    ShardTableReader(ShardTable &table, store::OperationIdSource &ids);

    // Requests a read of one shard. Further requests are merged until the read has been started.
    void refresh(ShardId shard) { m_requestedShards.insert(shard); }
    // Requests a list of all shards at the next advance().
    void refreshAll() { m_nextList = Instant::min(); }

    // Returns the operations to execute now.
    std::vector<store::Operation> advance(Instant now);
    // Takes the outcome of an operation; ignores ids that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns the time at which advance() must be called if no outcome arrives before.
    std::optional<Instant> nextWake() const;

private:
    void onList(const store::Outcome &outcome, Instant now);

    ShardTable &m_table;
    store::OperationIdSource &m_ids;
    std::set<ShardId> m_requestedShards;
    std::map<store::OperationId, ShardId> m_outstandingReads;
    store::OperationId m_outstandingList = 0;
    store::OperationId m_outstandingCreate = 0;
    bool m_shouldCreateSet = false;
    Instant m_nextList = Instant::min();
    store::Backoff m_backoff;
};

} // namespace basilhall::ownership
