#include "basilhall/gateway/evacuation_monitor.h"

#include "basilhall/gateway/fleet_state.h"
#include "basilhall/metrics/registry.h"

#include <utility>

namespace basilhall::gateway
{

using logging::Field;
using metrics::Metric;

EvacuationMonitor::EvacuationMonitor(const FleetState &state, logging::Log log,
                                     metrics::Registry &registry)
    : m_state(state)
    , m_log(std::move(log))
    , m_registry(registry)
{
}

Duration EvacuationMonitor::age(Instant now) const
{
    return now - m_state.evacuations().currentAt().value_or(now);
}

void EvacuationMonitor::onChanged(const fleet::EvacuationView::Change &change,
                                  logging::Literal source, Instant now)
{
    const std::uint64_t revision = m_state.evacuations().current().revision;
    m_progress.onChanged(change, revision, now);
    if (change == fleet::EvacuationView::Change()) {
        m_log.info("Knows that no failure domain is evacuated.", Field("version", revision),
                   Field("age", age(now)), Field("source", source));
    }
    for (const FailureDomain &domain : change.begun) {
        m_log.info("Saw the evacuation of a failure domain.", Field("failure_domain", domain),
                   Field("version", revision), Field("age", age(now)), Field("source", source));
        m_log.info("The evacuation is in effect at this gateway.", Field("failure_domain", domain),
                   Field("version", revision), Field("age", age(now)));
    }
    for (const FailureDomain &domain : change.ended) {
        m_log.info("The evacuation of a failure domain was removed.",
                   Field("failure_domain", domain), Field("version", revision),
                   Field("age", age(now)), Field("source", source));
    }
}

void EvacuationMonitor::onTimer(const std::vector<Member> &hosts,
                                const std::function<bool(std::uint64_t)> &isKnownToAll, Instant now)
{
    const fleet::EvacuationView &view = m_state.evacuations();
    if (!view.isWatched()) {
        return;
    }
    EvacuationProgress::Fleet fleet;
    fleet.ofHosts.insert(m_state.traits().ownDomain);
    for (const Member &host : hosts) {
        fleet.ofHosts.insert(host.failureDomain);
    }
    fleet.ofEndpoints = m_state.endpointDomains();
    for (const EvacuationProgress::Event &event : m_progress.check(fleet, isKnownToAll, now)) {
        logEvent(event, now);
    }
    m_registry.gauge(Metric::EvacuatedDomains)
        .set(static_cast<double>(view.current().domains.size()));
    m_registry.gauge(Metric::EvacuationsNotEverywhere)
        .set(static_cast<double>(m_progress.pendingCount()));
    m_registry.gauge(Metric::EvacuationsRevision).set(static_cast<double>(view.current().revision));
    m_registry.gauge(Metric::EvacuationsAgeSeconds)
        .set(std::chrono::duration<double>(age(now)).count());
}

void EvacuationMonitor::logEvent(const EvacuationProgress::Event &event, Instant now) const
{
    using Kind = EvacuationProgress::EventKind;
    const Field domain("failure_domain", event.domain);
    const Field version("version", event.revision);
    switch (event.kind) {
    case Kind::InEffectEverywhere:
        m_log.info("The evacuation is in effect at all listed gateways.", domain, version,
                   Field("age", age(now)), Field("after", event.after));
        break;
    case Kind::EndedEverywhere:
        m_log.info("The end of the evacuation is in effect at all listed gateways.", domain,
                   version, Field("age", age(now)), Field("after", event.after));
        break;
    case Kind::UnknownDomain:
        m_log.warning("An evacuation names a failure domain that no host or endpoint has.", domain,
                      version, Field("age", age(now)));
        break;
    case Kind::AllDomains:
        m_log.error("All failure domains with endpoints are evacuated; requests are refused.",
                    Field("version", m_state.evacuations().current().revision),
                    Field("age", age(now)));
        break;
    case Kind::NotAllDomains:
        m_log.info("Not all failure domains with endpoints are evacuated any more.",
                   Field("version", m_state.evacuations().current().revision),
                   Field("age", age(now)));
        break;
    }
}

} // namespace basilhall::gateway
