#include "basilhall/entry/checkpoint_driver.h"

#include "basilhall/ownership/checkpoint_policy.h"
#include "basilhall/ownership/snapshot.h"

#include <deque>

namespace basilhall::entry
{

namespace
{

// Copies the current state of the shard into records. The source returns them one at a time.
ownership::SnapshotSource snapshotOf(const program::ProgramTable &table, std::uint32_t shard)
{
    auto records = std::make_shared<std::deque<journal::Record>>();
    for (const journal::Record &whole : table.snapshot(shard)) {
        for (journal::Record &part :
             ownership::splitSnapshot(shard, whole.epoch(), whole.program_snapshot())) {
            records->push_back(std::move(part));
        }
    }
    return [records]() -> std::optional<journal::Record> {
        if (records->empty()) {
            return std::nullopt;
        }
        journal::Record record = std::move(records->front());
        records->pop_front();
        return record;
    };
}

} // namespace

CheckpointDriver::CheckpointDriver(journal::Writer &writer, const owner::Owner &owner,
                                   ownership::Claimer &claimer, const ownership::ShardTable &table,
                                   StorePump &pump, store::OperationIdSource &ids)
    : m_writer(writer)
    , m_owner(owner)
    , m_claimer(claimer)
    , m_table(table)
    , m_pump(pump)
    , m_ids(ids)
{
}

void CheckpointDriver::shardAcquired(std::uint32_t shard, std::uint64_t bytes,
                                     std::uint64_t batches)
{
    m_progress.insert_or_assign(
        shard, Progress{m_owner.writtenBytes(shard), m_writer.durableNumber(), bytes, batches});
}

void CheckpointDriver::advance(Instant now)
{
    if (m_current != nullptr) {
        m_pump.run(m_current);
        if (m_current->isFinished()) {
            m_current.reset();
        }
        return;
    }
    if (now < m_nextCheck) {
        return;
    }
    m_nextCheck = now + kCheckInterval;
    std::erase_if(m_progress, [this](const auto &entry) { return !m_owner.owns(entry.first); });
    for (auto &[shard, progress] : m_progress) {
        if (isDue(shard, progress)) {
            beginCheckpoint(shard, progress);
            return;
        }
    }
}

std::optional<Instant> CheckpointDriver::nextWake() const
{
    return m_current == nullptr ? std::nullopt : m_current->nextWake();
}

bool CheckpointDriver::isDue(std::uint32_t shard, const Progress &progress) const
{
    const std::uint64_t written = m_owner.writtenBytes(shard) - progress.writtenBytes;
    const ownership::ReplayCost cost{m_writer.durableNumber() - progress.number
                                         + progress.replayedBatches,
                                     written + progress.replayedBytes};
    return ownership::isCheckpointDue(cost, m_owner.stateBytes(shard));
}

void CheckpointDriver::beginCheckpoint(std::uint32_t shard, Progress &progress)
{
    const journal::BatchNumber number = m_writer.closeBatch();
    progress = Progress{m_owner.writtenBytes(shard), number, 0, 0};
    m_current = std::make_shared<ownership::Checkpointer>(
        shard, number, snapshotOf(m_owner.programs(), shard), m_claimer, m_writer, m_table, m_ids);
}

} // namespace basilhall::entry
