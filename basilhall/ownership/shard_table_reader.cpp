#include "basilhall/ownership/shard_table_reader.h"

namespace basilhall::ownership
{

ShardTableReader::ShardTableReader(ShardTable &table, store::OperationIdSource &ids)
    : m_table(table)
    , m_ids(ids)
{
}

std::vector<store::Operation> ShardTableReader::advance(Instant now)
{
    std::vector<store::Operation> operations;
    if (m_outstandingList == 0 && now >= m_nextList) {
        m_outstandingList = m_ids.next();
        m_nextList = now + kListInterval;
        operations.push_back({m_outstandingList, store::List{kShardKind, ""}});
    }
    if (m_shouldCreateSet && m_outstandingCreate == 0) {
        m_outstandingCreate = m_ids.next();
        m_shouldCreateSet = false;
        operations.push_back({m_outstandingCreate,
                              store::Create{shardSetKey(), encodeShardSet(m_table.shardCount())}});
    }
    while (!m_requestedShards.empty() && m_outstandingReads.size() < kMaxParallelReads) {
        const ShardId shard = *m_requestedShards.begin();
        m_requestedShards.erase(m_requestedShards.begin());
        const store::OperationId id = m_ids.next();
        m_outstandingReads.emplace(id, shard);
        operations.push_back({id, store::Read{shardKey(shard)}});
    }
    return operations;
}

void ShardTableReader::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    if (id == m_outstandingList && id != 0) {
        m_outstandingList = 0;
        onList(outcome, now);
        return;
    }
    if (id == m_outstandingCreate && id != 0) {
        // The outcome does not matter: the next list shows whether the object exists.
        m_outstandingCreate = 0;
        return;
    }
    if (m_outstandingReads.erase(id) > 0 && outcome) {
        for (const store::Object &object : outcome.value()) {
            (void)m_table.apply(object);
        }
    }
}

void ShardTableReader::onList(const store::Outcome &outcome, Instant now)
{
    if (!outcome) {
        m_nextList = now + m_backoff.next();
        return;
    }
    m_backoff.reset();
    for (const store::Object &object : outcome.value()) {
        (void)m_table.apply(object);
    }
    m_table.setComplete();
    m_shouldCreateSet = !m_table.isInitialized() && m_table.isComplete()
        && outcome.value().size() == m_table.shardCount() && m_table.faults().empty();
}

std::optional<Instant> ShardTableReader::nextWake() const
{
    if (m_shouldCreateSet && m_outstandingCreate == 0) {
        return Instant::min();
    }
    if (!m_requestedShards.empty() && m_outstandingReads.size() < kMaxParallelReads) {
        return Instant::min();
    }
    if (m_outstandingList != 0) {
        return std::nullopt;
    }
    return m_nextList;
}

} // namespace basilhall::ownership
