// Writes one checkpoint of one shard, advances the shard's ranges past it, and removes the objects
// that are no longer needed.
//
//     const BatchNumber number = writer.closeBatch();
//     Checkpointer checkpointer(shard, number, snapshotOfTheShard, claimer, writer, table, ids);
//     // ... advance() and onOutcome() until isFinished()
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/journal/checkpoint_codec.h"
#include "basilhall/ownership/claimer.h"
#include "basilhall/store/backoff.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace basilhall::ownership
{

// Returns the next record of a snapshot, or std::nullopt at its end. Together the records must hold
// the state of every program of the shard after the batches up to the checkpoint's number, and
// nothing later. Records are pulled one at a time, so that a snapshot need not be in memory twice.
using SnapshotSource = std::function<std::optional<journal::Record>()>;

// Not thread-safe. Holds one part in memory. At most one operation is outstanding. The old
// checkpoint and ranges remain valid until the shard object is updated, so a crash at any step
// loses no data. It may leave checkpoint parts that no shard object refers to.
class Checkpointer
{
public:
    // Maximum number of objects removed per flush interval of the writer. Each batch is removed
    // once; removing at twice the rate at which batches are written keeps up without bursts.
    static constexpr int kRemovalsPerFlush = 2;

    enum class Phase { Writing, Moving, Listing, Removing, Done, Failed };

    // `number` must come from Writer::closeBatch(). `claimer` must own the shard. All references
    // must outlive the checkpointer.
    Checkpointer(ShardId shard, journal::BatchNumber number, SnapshotSource source,
                 Claimer &claimer, const journal::Writer &writer, const ShardTable &table,
                 store::OperationIdSource &ids);

    // Returns the operation to execute now, if any.
    std::vector<store::Operation> advance(Instant now);
    // Takes the outcome of an operation; ignores ids that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns the time at which advance() must be called if no outcome arrives before.
    std::optional<Instant> nextWake() const;

    Phase phase() const { return m_phase; }
    bool isFinished() const { return m_phase == Phase::Done || m_phase == Phase::Failed; }
    // Returns the number of parts written so far.
    std::uint32_t parts() const { return m_place.part; }

private:
    void fillPart();
    void beginMove();
    void checkMove();
    std::optional<store::Request> nextRequest() const;
    void onPartCreated(const store::Outcome &outcome, Instant now);
    void onPartRead(const store::Outcome &outcome, Instant now);
    void onList(const store::Outcome &outcome, Instant now);
    void onRemoved(const store::Outcome &outcome, Instant now);
    void finishPart();

    journal::CheckpointPartId m_place;
    SnapshotSource m_source;
    Claimer &m_claimer;
    const journal::Writer &m_writer;
    const ShardTable &m_table;
    store::OperationIdSource &m_ids;
    Phase m_phase = Phase::Writing;
    // A record that did not fit into the previous part.
    std::optional<journal::Record> m_carriedRecord;
    std::string m_partData;
    bool m_readingBack = false;
    ShardState m_stateBefore;
    ShardState m_stateAfter;
    std::deque<store::ObjectKey> m_obsolete;
    store::OperationId m_outstanding = 0;
    Instant m_retryAt = Instant::min();
    store::Backoff m_backoff;
};

} // namespace basilhall::ownership
