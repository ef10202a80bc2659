#include "basilhall/gateway/internal/cold_log.h"

#include <string>

namespace basilhall::gateway
{

using logging::Field;
using metrics::Metric;

namespace
{

std::string_view nameOf(placement::ColdCause cause)
{
    switch (cause) {
    case placement::ColdCause::Started:
        return "started";
    case placement::ColdCause::EvacuationEnded:
        return "evacuation_ended";
    case placement::ColdCause::ConnectionLost:
        return "connection_lost";
    default:
        return "registered";
    }
}

} // namespace

ColdLog::ColdLog(logging::Log log, metrics::Registry &registry)
    : m_log(std::move(log))
    , m_registry(registry)
    , m_sends(registry.counter(Metric::ColdSends))
{
}

void ColdLog::report(placement::EndpointLimits &limits, Instant now)
{
    for (const placement::ColdNotice &notice : limits.takeColdNotices()) {
        const std::string cause(nameOf(notice.cause));
        m_registry.counter(Metric::ColdEndpoints, cause).add();
        m_log.info("Endpoint is treated as cold.", Field("endpoint", notice.endpoint),
                   Field("cause", logging::PublicText(cause)), Field("for", notice.until - now));
    }
    for (const placement::ColdEnd &end : limits.takeColdEnds(now)) {
        m_log.info("Endpoint is no longer treated as cold.", Field("endpoint", end.endpoint),
                   Field("sends", end.sends));
    }
    if (const std::uint64_t sends = limits.takeColdSends(); sends > 0) {
        m_sends.add(sends);
    }
}

} // namespace basilhall::gateway
