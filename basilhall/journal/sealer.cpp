#include "basilhall/journal/sealer.h"

namespace basilhall::journal
{

Sealer::Sealer(Incarnation sealed, BatchNumber first, Incarnation self,
               store::OperationIdSource &ids)
    : m_sealed(std::move(sealed))
    , m_self(std::move(self))
    , m_ids(ids)
    , m_lastPresent(first == 0 ? 0 : first - 1)
{
}

std::vector<store::Operation> Sealer::advance(Instant now)
{
    if (m_lastNumber || m_outstanding != 0 || now < m_retryAt) {
        return {};
    }
    m_outstanding = m_ids.next();
    m_creating = isEndKnown();
    m_probe = nextProbe();
    const store::ObjectKey key = batchKey(m_sealed, m_probe);
    if (m_creating) {
        return {
            {m_outstanding, store::Create{key, encodeBatch(makeSeal(m_sealed, m_probe, m_self))}}};
    }
    return {{m_outstanding, store::Read{key}}};
}

BatchNumber Sealer::nextProbe() const
{
    if (!m_firstMissing) {
        return m_lastPresent + m_probeStep;
    }
    return m_lastPresent + (*m_firstMissing - m_lastPresent + 1) / 2;
}

void Sealer::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    if (id != m_outstanding || m_outstanding == 0) {
        return;
    }
    m_outstanding = 0;
    if (m_creating) {
        onSealCreated(outcome, now);
    } else {
        onProbe(outcome, now);
    }
}

void Sealer::onProbe(const store::Outcome &outcome, Instant now)
{
    if (outcome && outcome.value().size() == 1) {
        m_backoff.reset();
        onBatch(outcome.value().front());
        return;
    }
    if (!outcome && outcome.error().kind() == ErrorKind::NotFound) {
        m_backoff.reset();
        m_firstMissing = m_probe;
        return;
    }
    scheduleRetry(now);
}

void Sealer::onBatch(const store::Object &object)
{
    const Result<Batch> batch = decodeBatch(batchKey(m_sealed, m_probe), object.data);
    if (batch && !batch.value().sealed_by().empty()) {
        m_lastNumber = m_probe - 1;
        return;
    }
    m_lastPresent = m_probe;
    m_probeStep *= 2;
}

void Sealer::onSealCreated(const store::Outcome &outcome, Instant now)
{
    if (outcome) {
        m_lastNumber = m_probe - 1;
        return;
    }
    if (outcome.error().kind() == ErrorKind::StoreConflict) {
        // The owner created this batch first, another process sealed the journal, or an earlier
        // attempt succeeded without a response. Search again from here.
        m_firstMissing.reset();
        m_probeStep = 1;
        return;
    }
    scheduleRetry(now);
}

void Sealer::scheduleRetry(Instant now)
{
    m_retryAt = now + m_backoff.next();
}

std::optional<Instant> Sealer::nextWake() const
{
    if (m_lastNumber || m_outstanding != 0) {
        return std::nullopt;
    }
    return m_retryAt;
}

} // namespace basilhall::journal
