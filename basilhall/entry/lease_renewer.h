// Renews the lease of this host's limiter with the journal batches that the host writes.
//
// A journal batch that became durable proves that the journal was not sealed when the batch was
// sent, so no successor had started. A host without other writes appends a LeaseRenewed record.
//
//     renewer.renewIfDue(shard, epoch, now);
//     renewer.onSending(operations, now); // before the writer sends them
//     renewer.processDurableBatches();    // after outcomes have arrived
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/journal/writer.h"
#include "basilhall/limit/limiter.h"
#include "basilhall/store/operation.h"

#include <cstdint>
#include <map>
#include <span>

namespace basilhall::entry
{

// Control thread only.
class LeaseRenewer
{
public:
    // A lease is renewed once it is at least this old.
    static constexpr Duration kRenewAfter = std::chrono::seconds(1);

    LeaseRenewer(journal::Writer &writer, limit::Limiter &limiter);

    // Appends a LeaseRenewed record for a shard owned at `epoch` if the lease is due for renewal.
    void renewIfDue(std::uint32_t shard, std::uint64_t epoch, Instant now);
    // Records the send time of operations that the writer is about to send.
    void onSending(std::span<const store::Operation> operations, Instant now);
    // Renews the lease for batches that have become durable since the last call.
    void processDurableBatches();

private:
    journal::Writer &m_writer;
    limit::Limiter &m_limiter;
    // Time of the first send of each batch that is not durable yet.
    std::map<std::string, Instant> m_sentAt;
    journal::BatchNumber m_processedNumber = 0;
    Instant m_renewedAt = Instant::min();
    journal::RecordTicket m_pendingRenewal = 0;
};

} // namespace basilhall::entry
