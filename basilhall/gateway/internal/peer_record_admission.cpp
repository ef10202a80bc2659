#include "basilhall/gateway/internal/peer_record_admission.h"

#include "basilhall/metrics/registry.h"

#include <utility>

namespace basilhall::gateway
{

using logging::Field;

namespace
{

// A writer needs 200 ms for this much. Without a limit, records that the peers no longer waited for
// delayed all others for 6 s after an outage.
constexpr std::size_t kMaxBacklog = 512 * 1024;
constexpr Duration kLogInterval = std::chrono::seconds(1);

} // namespace

PeerRecordAdmission::PeerRecordAdmission(metrics::Registry &registry, logging::Log log)
    : m_refusals(registry.counter(metrics::Metric::JournalPeerRecordsRefused))
    , m_log(std::move(log))
{
}

bool PeerRecordAdmission::admit(const JournalBacklog &backlog, Instant now)
{
    if (!backlog.isFailing && backlog.pendingBytes <= kMaxBacklog) {
        return true;
    }
    m_refusals.add();
    if (now >= m_nextLogAt) {
        m_nextLogAt = now + kLogInterval;
        m_log.info("Refuses records of peers, which write these themselves.",
                   Field("pending_bytes", backlog.pendingBytes),
                   Field("store_failing", backlog.isFailing),
                   Field("failing_for", backlog.failingFor));
    }
    return false;
}

} // namespace basilhall::gateway
