// Writes the journal of one incarnation. Records are collected in batches. Each batch becomes one
// object by a conditional create, one batch at a time and in order.
//
//     Writer writer(incarnation, ids, {});
//     Result<RecordTicket> ticket = writer.append(record, now);
//     for (store::Operation &operation : writer.advance(now)) {
//         execute(operation); // The outcome goes to writer.onOutcome().
//     }
//     if (writer.durableTicket() >= ticket.value()) {
//         // Every successor will read the record.
//     }
//
// A successor seals the journal by creating the next batch itself (see sealer.h). The writer then
// finds a batch that it has not written, reports isSealed() and writes nothing further.
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/journal/batch_codec.h"
#include "basilhall/journal/writer_options.h"
#include "basilhall/store/backoff.h"
#include "basilhall/store/operation.h"
#include "basilhall/store/operation_id_source.h"
#include "basilhall/store/outcome.h"

#include <deque>
#include <optional>
#include <vector>

namespace basilhall::journal
{

// Position of a record among all records that one writer has accepted, starting at 1.
using RecordTicket = std::uint64_t;

// Not thread-safe. Has at most one operation outstanding. A record is reported durable only if its
// batch was created before any seal. If the response to a create is lost, the writer repeats the
// create and reads the object back on a conflict. Memory is bounded by
// WriterOptions::maxPendingBytes.
class Writer
{
public:
    // `ids` must outlive the writer. `incarnation` must be new: no batch of it may exist.
    Writer(Incarnation incarnation, store::OperationIdSource &ids, WriterOptions options);

    // Accepts `record` and returns its ticket. Returns PayloadTooLarge if the record is larger than
    // kMaxBatchBytes, Overloaded if maxPendingBytes would be exceeded, and NotOwner if the journal
    // is sealed; the record is then not accepted.
    Result<RecordTicket> append(const Record &record, Instant now);

    // Closes the current batch. Records accepted so far are in batches up to the returned number,
    // later ones in batches after it.
    BatchNumber closeBatch();

    // Returns the operation to execute now, if any.
    std::vector<store::Operation> advance(Instant now);
    // Processes the outcome of an operation; ignores ids that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns when advance() must be called next, or nothing if only another event can give it
    // work.
    std::optional<Instant> nextWake() const;

    // Sets the flush interval so that `writers` writers together make at most `writesPerSecond`
    // writes. The interval is never shorter than WriterOptions::flushInterval.
    void limitWriteRate(std::size_t writers, std::size_t writesPerSecond);
    // Sets WriterOptions::batchBytes for records that are accepted from now on.
    void setBatchBytes(std::size_t bytes) { m_options.batchBytes = bytes; }
    // Minimum time between two creates.
    Duration flushInterval() const { return m_flushInterval; }

    const Incarnation &incarnation() const { return m_incarnation; }
    // Ticket of the last accepted record; 0 if none.
    RecordTicket lastTicket() const { return m_lastTicket; }
    // Ticket up to which all records are durable; 0 if none.
    RecordTicket durableTicket() const { return m_durableTicket; }
    // Number of the last durable batch; 0 if none. A range of this journal that begins now has the
    // next number as its first.
    BatchNumber durableNumber() const { return m_durableNumber; }

    // True once another process has sealed the journal; never becomes false again.
    bool isSealed() const { return m_phase == Phase::Sealed; }
    // Encoded size in bytes of the accepted records that are not durable yet.
    std::size_t pendingBytes() const { return m_pendingBytes; }
    // Time at which the oldest record that is not durable yet was accepted.
    std::optional<Instant> oldestPendingSince() const;
    // False if the journal is sealed or more than WriterOptions::softPendingBytes are pending. The
    // owner should then refuse new work; unless the journal is sealed, append() still
    // accepts records of running work up to maxPendingBytes.
    bool acceptsNewWork() const;

private:
    enum class Phase { Idle, Creating, Reading, Waiting, Sealed };

    struct PendingBatch {
        Batch batch;
        std::size_t bytes = 0;
        RecordTicket lastTicket = 0;
        Instant since;
        bool closed = false;
    };

    PendingBatch &openBatch(std::size_t bytes, Instant now);
    BatchNumber lastNumber() const { return m_durableNumber + m_batches.size(); }
    bool isDue(Instant now) const;
    bool isFrontFull() const;
    store::Operation sendCreate(Instant now);
    store::Operation sendRead();
    void onCreated(const store::Outcome &outcome, Instant now);
    void onRead(const store::Outcome &outcome, Instant now);
    void scheduleRetry(Phase next, Instant now);
    void confirmFront();
    void markSealed();

    Incarnation m_incarnation;
    store::OperationIdSource &m_ids;
    WriterOptions m_options;
    Duration m_flushInterval;
    std::deque<PendingBatch> m_batches;
    // Content of the front batch. Identical in all attempts to create the object, so that reading
    // the object back shows whether an attempt succeeded.
    std::string m_frontData;
    std::size_t m_pendingBytes = 0;
    RecordTicket m_lastTicket = 0;
    RecordTicket m_durableTicket = 0;
    BatchNumber m_durableNumber = 0;
    Phase m_phase = Phase::Idle;
    // Phase that follows Waiting: Creating or Reading.
    Phase m_phaseAfterWait = Phase::Creating;
    Instant m_retryAt;
    std::optional<Instant> m_lastSent;
    store::OperationId m_outstanding = 0;
    store::Backoff m_backoff;
};

} // namespace basilhall::journal
