// Keeps the audit trail of one process with few writes.
//
//     Recorder recorder(host, incarnation, ids, {});
//     recorder.record(EventKind::Takeover, "shard 7", "from entry-2", clock.wallMillis(), now);
//     // ... advance() and onOutcome(), for as long as the process runs
//     recorder.recent(); // readable while the object API is away
#pragma once

#include "basilhall/audit/record.h"
#include "basilhall/audit/recorder_options.h"
#include "basilhall/store/backoff.h"
#include "basilhall/store/operation.h"
#include "basilhall/store/operation_id_source.h"
#include "basilhall/store/outcome.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace basilhall::audit
{

// Not thread-safe. A batch costs one read and one write. A write whose answer was lost is settled
// by reading the bucket again: records that it holds already are not added twice. During an outage
// records wait; beyond kMaxPending the oldest are lost, those of a manifest in force first, and a
// record tells how many.
class Recorder
{
public:
    static constexpr std::size_t kMaxPending = 512;
    static constexpr std::size_t kMaxRecent = 512;

    // `ids` must outlive the recorder.
    Recorder(HostName host, Incarnation self, store::OperationIdSource &ids,
             RecorderOptions options);

    void record(EventKind kind, std::string subject, std::string detail, WallMillis wallMillis,
                Instant now);

    // Returns the operation to execute now, if any.
    std::vector<store::Operation> advance(Instant now);
    // Takes the outcome of an operation; ignores numbers that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns when advance() has something to do without a further event.
    std::optional<Instant> nextWake() const;

    // The last kMaxRecent records of this process, oldest first.
    const std::deque<Record> &recent() const { return m_recent; }
    // Records that are not in the object API yet.
    std::size_t pending() const { return m_pending.size(); }
    // Makes all pending records due at once, for a process that is about to stop.
    void flush(Instant now);

private:
    enum class Phase { Idle, Reading, Writing };

    Record make(EventKind kind, std::string subject, std::string detail, WallMillis wallMillis);
    void dropOne();
    std::optional<Instant> dueAt() const;
    void onRead(const store::Outcome &outcome, Instant now);
    void onWritten(const store::Outcome &outcome, Instant now);
    void forget(const std::vector<Record> &durable);
    void retryLater(Instant now);

    HostName m_host;
    Incarnation m_self;
    store::OperationIdSource &m_ids;
    RecorderOptions m_options;
    store::ObjectKey m_key;
    std::deque<Record> m_recent;
    std::deque<Record> m_pending;
    std::optional<Instant> m_flushAt;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lost = 0;
    Phase m_phase = Phase::Idle;
    // The bucket as it was read; without a version it does not exist.
    std::vector<Record> m_bucket;
    std::optional<store::ResourceVersion> m_version;
    bool m_hasRead = false;
    // Records of the write in progress.
    std::vector<Record> m_written;
    store::OperationId m_outstanding = 0;
    Instant m_retryAt = Instant::min();
    store::Backoff m_backoff;
};

} // namespace basilhall::audit
