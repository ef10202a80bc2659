#include "basilhall/entry/lease_renewer.h"

#include "basilhall/journal/batch_codec.h"

namespace basilhall::entry
{

LeaseRenewer::LeaseRenewer(journal::Writer &writer, limit::Limiter &limiter)
    : m_writer(writer)
    , m_limiter(limiter)
{
}

void LeaseRenewer::renewIfDue(std::uint32_t shard, std::uint64_t epoch, Instant now)
{
    const bool isFresh = m_renewedAt != Instant::min() && now - m_renewedAt < kRenewAfter;
    if (isFresh || m_pendingRenewal > m_writer.durableTicket() || m_writer.isSealed()) {
        return;
    }
    journal::Record record;
    record.set_shard(shard);
    record.set_epoch(epoch);
    record.mutable_lease_renewed();
    const Result<journal::RecordTicket> ticket = m_writer.append(record, now);
    if (ticket) {
        m_pendingRenewal = ticket.value();
    }
}

void LeaseRenewer::onSending(std::span<const store::Operation> operations, Instant now)
{
    for (const store::Operation &operation : operations) {
        if (const auto *create = std::get_if<store::Create>(&operation.request)) {
            m_sentAt.try_emplace(create->key.name, now);
        }
    }
}

void LeaseRenewer::processDurableBatches()
{
    while (m_processedNumber < m_writer.durableNumber()) {
        ++m_processedNumber;
        const auto key = journal::batchKey(m_writer.incarnation(), m_processedNumber);
        if (const auto sent = m_sentAt.extract(key.name)) {
            m_renewedAt = sent.mapped();
            m_limiter.onLeaseRenewed(m_renewedAt);
        }
    }
}

} // namespace basilhall::entry
