#include "basilhall/ownership/checkpointer.h"

#include "basilhall/ownership/obsolete_objects.h"

#include <algorithm>
#include <set>

namespace basilhall::ownership
{

using journal::CheckpointPart;
using journal::Record;

Checkpointer::Checkpointer(ShardId shard, journal::BatchNumber number, SnapshotSource source,
                           Claimer &claimer, const journal::Writer &writer, const ShardTable &table,
                           store::OperationIdSource &ids)
    : m_place{shard, claimer.ownedEpoch(shard).value_or(0), number, 0}
    , m_source(std::move(source))
    , m_claimer(claimer)
    , m_writer(writer)
    , m_table(table)
    , m_ids(ids)
{
}

std::vector<store::Operation> Checkpointer::advance(Instant now)
{
    const bool isOwner = m_claimer.ownedEpoch(m_place.shard) == m_place.epoch;
    if (!isOwner && (m_phase == Phase::Writing || m_phase == Phase::Moving)) {
        m_phase = Phase::Failed;
    }
    if (m_outstanding != 0 || now < m_retryAt) {
        return {};
    }
    if (m_phase == Phase::Writing && m_partData.empty()) {
        fillPart();
    }
    if (m_phase == Phase::Moving) {
        checkMove();
    }
    const std::optional<store::Request> request = nextRequest();
    if (!request) {
        return {};
    }
    m_outstanding = m_ids.next();
    return {{m_outstanding, *request}};
}

// Collects the records of the next part. At the end of the snapshot, starts to move the checkpoint.
void Checkpointer::fillPart()
{
    CheckpointPart part = makeCheckpointPart(m_place);
    std::size_t bytes = 0;
    for (;;) {
        std::optional<Record> record =
            m_carriedRecord ? std::exchange(m_carriedRecord, std::nullopt) : m_source();
        if (!record) {
            break;
        }
        const std::size_t recordBytes = journal::encodedBytes(*record);
        if (part.records_size() > 0 && bytes + recordBytes > journal::kMaxBatchBytes) {
            m_carriedRecord = std::move(record);
            break;
        }
        bytes += recordBytes;
        *part.add_records() = std::move(*record);
    }
    if (part.records_size() == 0) {
        beginMove();
        return;
    }
    m_partData = encodeCheckpointPart(part);
}

void Checkpointer::beginMove()
{
    m_phase = Phase::Moving;
    m_stateBefore = *m_claimer.ownedState(m_place.shard);
    m_claimer.moveCheckpoint(m_place.shard, m_place.number, m_place.part);
}

void Checkpointer::checkMove()
{
    if (m_claimer.isMovePending(m_place.shard)) {
        return;
    }
    m_stateAfter = *m_claimer.ownedState(m_place.shard);
    const bool isMoved = m_stateAfter.checkpoint_epoch() == m_place.epoch
        && m_stateAfter.checkpoint_number() == m_place.number;
    m_phase = isMoved ? Phase::Listing : Phase::Failed;
}

std::optional<store::Request> Checkpointer::nextRequest() const
{
    switch (m_phase) {
    case Phase::Writing:
        if (m_readingBack) {
            return store::Read{checkpointKey(m_place)};
        }
        return store::Create{checkpointKey(m_place), m_partData};
    case Phase::Listing:
        return store::List{kShardKind, ""};
    case Phase::Removing:
        return store::Remove{m_obsolete.front()};
    case Phase::Moving:
    case Phase::Done:
    case Phase::Failed:
        break;
    }
    return std::nullopt;
}

void Checkpointer::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    if (id != m_outstanding || m_outstanding == 0) {
        return;
    }
    m_outstanding = 0;
    if (m_phase == Phase::Writing && m_readingBack) {
        onPartRead(outcome, now);
    } else if (m_phase == Phase::Writing) {
        onPartCreated(outcome, now);
    } else if (m_phase == Phase::Listing) {
        onList(outcome, now);
    } else if (m_phase == Phase::Removing) {
        onRemoved(outcome, now);
    }
}

void Checkpointer::onPartCreated(const store::Outcome &outcome, Instant now)
{
    if (outcome) {
        finishPart();
    } else if (outcome.error().kind() == ErrorKind::StoreConflict) {
        m_readingBack = true;
    } else {
        m_retryAt = now + m_backoff.next();
    }
}

// A part that already exists with the same content was written by this checkpointer, whose answer
// was lost. With other content, or none, this checkpoint fails; the next one has another number.
void Checkpointer::onPartRead(const store::Outcome &outcome, Instant now)
{
    if (!outcome && outcome.error().kind() != ErrorKind::NotFound) {
        m_retryAt = now + m_backoff.next();
        return;
    }
    const bool isOurs =
        outcome && outcome.value().size() == 1 && outcome.value().front().data == m_partData;
    if (isOurs) {
        finishPart();
    } else {
        m_phase = Phase::Failed;
    }
}

void Checkpointer::finishPart()
{
    m_partData.clear();
    m_readingBack = false;
    m_backoff.reset();
    ++m_place.part;
}

// Removes nothing unless the list holds a readable object for every known shard: a shard that
// cannot be read may still need the batches.
void Checkpointer::onList(const store::Outcome &outcome, Instant now)
{
    if (!outcome) {
        m_retryAt = now + m_backoff.next();
        return;
    }
    m_backoff.reset();
    std::set<ShardId> missing;
    for (const auto &[shard, view] : m_table.views()) {
        missing.insert(shard);
    }
    std::vector<ShardState> all;
    bool allReadable = true;
    for (const store::Object &object : outcome.value()) {
        if (object.key == shardSetKey()) {
            continue;
        }
        Result<ShardState> state = decodeShard(object.key, object.data);
        allReadable = allReadable && state.has_value();
        if (state) {
            missing.erase(state.value().shard());
            all.push_back(std::move(state.value()));
        }
    }
    if (allReadable && missing.empty()) {
        std::optional<PendingClaim> pendingClaim;
        if (const auto lowest = m_claimer.lowestPendingClaim()) {
            pendingClaim = PendingClaim{m_writer.incarnation(), *lowest};
        }
        const auto keys = obsoleteObjects(m_stateBefore, m_stateAfter, all, pendingClaim);
        m_obsolete.assign(keys.begin(), keys.end());
    }
    m_phase = m_obsolete.empty() ? Phase::Done : Phase::Removing;
}

void Checkpointer::onRemoved(const store::Outcome &outcome, Instant now)
{
    if (!outcome && outcome.error().kind() != ErrorKind::NotFound) {
        m_retryAt = now + m_backoff.next();
        return;
    }
    m_backoff.reset();
    m_obsolete.pop_front();
    m_retryAt = now + m_writer.flushInterval() / kRemovalsPerFlush;
    if (m_obsolete.empty()) {
        m_phase = Phase::Done;
    }
}

std::optional<Instant> Checkpointer::nextWake() const
{
    if (isFinished() || m_outstanding != 0 || m_phase == Phase::Moving) {
        return std::nullopt;
    }
    return m_retryAt;
}

} // namespace basilhall::ownership
