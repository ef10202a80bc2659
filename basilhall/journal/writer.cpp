#include "basilhall/journal/writer.h"

#include <algorithm>

namespace basilhall::journal
{

Writer::Writer(Incarnation incarnation, store::OperationIdSource &ids, WriterOptions options)
    : m_incarnation(std::move(incarnation))
    , m_ids(ids)
    , m_options(options)
    , m_flushInterval(options.flushInterval)
{
}

void Writer::limitWriteRate(std::size_t writers, std::size_t writesPerSecond)
{
    m_flushInterval = std::max(m_options.flushInterval, flushIntervalFor(writers, writesPerSecond));
}

Result<RecordTicket> Writer::append(const Record &record, Instant now)
{
    const std::size_t bytes = encodedBytes(record);
    if (isSealed()) {
        return Error(ErrorKind::NotOwner,
                     "journal of incarnation \"" + m_incarnation.value() + "\" is sealed");
    }
    if (bytes > kMaxBatchBytes) {
        return Error(ErrorKind::PayloadTooLarge,
                     "record of " + std::to_string(bytes) + " bytes exceeds the limit of "
                         + std::to_string(kMaxBatchBytes));
    }
    if (m_pendingBytes + bytes > m_options.maxPendingBytes) {
        return Error(ErrorKind::Overloaded,
                     "journal holds " + std::to_string(m_pendingBytes)
                         + " bytes that are not durable");
    }
    PendingBatch &open = openBatch(bytes, now);
    *open.batch.add_records() = record;
    open.bytes += bytes;
    open.lastTicket = ++m_lastTicket;
    m_pendingBytes += bytes;
    return m_lastTicket;
}

Writer::PendingBatch &Writer::openBatch(std::size_t bytes, Instant now)
{
    const bool fits = !m_batches.empty() && !m_batches.back().closed
        && m_batches.back().bytes + bytes <= std::min(kMaxBatchBytes, m_options.batchBytes);
    if (fits) {
        return m_batches.back();
    }
    closeBatch();
    PendingBatch &added = m_batches.emplace_back();
    added.batch = makeBatch(m_incarnation, lastNumber());
    added.since = now;
    return added;
}

BatchNumber Writer::closeBatch()
{
    if (!m_batches.empty()) {
        m_batches.back().closed = true;
    }
    return lastNumber();
}

std::vector<store::Operation> Writer::advance(Instant now)
{
    if (m_phase == Phase::Idle && isDue(now)) {
        return {sendCreate(now)};
    }
    if (m_phase == Phase::Waiting && now >= m_retryAt) {
        return {m_phaseAfterWait == Phase::Reading ? sendRead() : sendCreate(now)};
    }
    return {};
}

bool Writer::isDue(Instant now) const
{
    if (m_batches.empty()) {
        return false;
    }
    return !m_lastSent || isFrontFull() || now >= *m_lastSent + m_flushInterval;
}

bool Writer::isFrontFull() const
{
    return m_options.batchBytes < kMaxBatchBytes && m_batches.size() > 1;
}

store::Operation Writer::sendCreate(Instant now)
{
    PendingBatch &front = m_batches.front();
    if (m_frontData.empty()) {
        front.closed = true;
        m_frontData = encodeBatch(front.batch);
        m_lastSent = now;
    }
    m_phase = Phase::Creating;
    m_outstanding = m_ids.next();
    return {m_outstanding,
            store::Create{batchKey(m_incarnation, front.batch.number()), m_frontData}};
}

store::Operation Writer::sendRead()
{
    m_phase = Phase::Reading;
    m_outstanding = m_ids.next();
    return {m_outstanding, store::Read{batchKey(m_incarnation, m_durableNumber + 1)}};
}

void Writer::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    if (id != m_outstanding) {
        return;
    }
    m_outstanding = 0;
    if (m_phase == Phase::Creating) {
        onCreated(outcome, now);
    } else if (m_phase == Phase::Reading) {
        onRead(outcome, now);
    }
}

void Writer::onCreated(const store::Outcome &outcome, Instant now)
{
    if (outcome) {
        confirmFront();
        return;
    }
    if (outcome.error().kind() == ErrorKind::StoreConflict) {
        m_phase = Phase::Waiting;
        m_phaseAfterWait = Phase::Reading;
        m_retryAt = now;
        return;
    }
    scheduleRetry(Phase::Creating, now);
}

void Writer::onRead(const store::Outcome &outcome, Instant now)
{
    const bool found = outcome && outcome.value().size() == 1;
    if (found && outcome.value().front().data == m_frontData) {
        confirmFront();
        return;
    }
    const bool isMissing = !outcome && outcome.error().kind() == ErrorKind::NotFound;
    if (found || isMissing) {
        // If the object existed at the create and is missing now, a successor has removed it.
        markSealed();
        return;
    }
    scheduleRetry(Phase::Reading, now);
}

void Writer::scheduleRetry(Phase next, Instant now)
{
    m_phase = Phase::Waiting;
    m_phaseAfterWait = next;
    m_retryAt = now + m_backoff.next();
}

void Writer::confirmFront()
{
    const PendingBatch &front = m_batches.front();
    m_durableTicket = front.lastTicket;
    m_pendingBytes -= front.bytes;
    ++m_durableNumber;
    m_batches.pop_front();
    m_frontData.clear();
    m_backoff.reset();
    m_phase = Phase::Idle;
}

void Writer::markSealed()
{
    m_phase = Phase::Sealed;
    m_batches.clear();
    m_frontData.clear();
    m_pendingBytes = 0;
}

std::optional<Instant> Writer::nextWake() const
{
    if (m_phase == Phase::Waiting) {
        return m_retryAt;
    }
    if (m_phase != Phase::Idle || m_batches.empty()) {
        return std::nullopt;
    }
    return m_lastSent && !isFrontFull() ? *m_lastSent + m_flushInterval : m_batches.front().since;
}

std::optional<Instant> Writer::oldestPendingSince() const
{
    if (m_batches.empty()) {
        return std::nullopt;
    }
    return m_batches.front().since;
}

bool Writer::acceptsNewWork() const
{
    return !isSealed() && m_pendingBytes <= m_options.softPendingBytes;
}

} // namespace basilhall::journal
