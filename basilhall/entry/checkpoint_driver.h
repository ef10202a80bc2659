// Writes checkpoints of the shards that this host owns, so that a successor replays few records.
//
//     checkpoints.shardAcquired(shard, bytes, batches);
//     checkpoints.advance(now); // in each iteration of the control loop
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/entry/store_pump.h"
#include "basilhall/journal/writer.h"
#include "basilhall/owner/owner.h"
#include "basilhall/ownership/checkpointer.h"
#include "basilhall/ownership/claimer.h"
#include "basilhall/ownership/shard_table.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace basilhall::entry
{

// Control thread only. Writes one checkpoint at a time.
class CheckpointDriver
{
public:
    // Interval between checks for a shard that needs a checkpoint.
    static constexpr Duration kCheckInterval = std::chrono::seconds(1);

    // All references must outlive the driver.
    CheckpointDriver(journal::Writer &writer, const owner::Owner &owner,
                     ownership::Claimer &claimer, const ownership::ShardTable &table,
                     StorePump &pump, store::OperationIdSource &ids);

    // Starts tracking a shard, with the size of the records and the number of the batches that were
    // replayed after its last checkpoint.
    void shardAcquired(std::uint32_t shard, std::uint64_t bytes, std::uint64_t batches);
    void advance(Instant now);
    std::optional<Instant> nextWake() const;

private:
    struct Progress {
        // Values at the last checkpoint, or at the acquisition of the shard.
        std::uint64_t writtenBytes = 0;
        journal::BatchNumber number = 0;
        std::uint64_t replayedBytes = 0;
        std::uint64_t replayedBatches = 0;
    };

    bool isDue(std::uint32_t shard, const Progress &progress) const;
    void beginCheckpoint(std::uint32_t shard, Progress &progress);

    journal::Writer &m_writer;
    const owner::Owner &m_owner;
    ownership::Claimer &m_claimer;
    const ownership::ShardTable &m_table;
    StorePump &m_pump;
    store::OperationIdSource &m_ids;
    std::map<std::uint32_t, Progress> m_progress;
    std::shared_ptr<ownership::Checkpointer> m_current;
    Instant m_nextCheck;
};

} // namespace basilhall::entry
