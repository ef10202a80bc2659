// Shows the progress of evacuations in logs and metrics.
//
//     EvacuationMonitor monitor(state, log, registry);
//     monitor.onChanged(change, "store", now);
//     monitor.onTimer(members, isKnownToAll, now);
#pragma once

#include "basilhall/gateway/evacuation_progress.h"
#include "basilhall/gateway/member.h"
#include "basilhall/logging/literal.h"
#include "basilhall/logging/log.h"

#include <functional>
#include <vector>

namespace basilhall::metrics
{
class Registry;
}

namespace basilhall::gateway
{

class FleetState;

// Not thread-safe. The references must outlive it.
class EvacuationMonitor
{
public:
    EvacuationMonitor(const FleetState &state, logging::Log log, metrics::Registry &registry);

    // The view of the state has changed; `source` is where the list came from.
    void onChanged(const fleet::EvacuationView::Change &change, logging::Literal source,
                   Instant now);
    // Call about once a second; does nothing if evacuations are not watched. `hosts` are the listed
    // gateways.
    void onTimer(const std::vector<Member> &hosts,
                 const std::function<bool(std::uint64_t)> &isKnownToAll, Instant now);

private:
    Duration age(Instant now) const;
    void logEvent(const EvacuationProgress::Event &event, Instant now) const;

    const FleetState &m_state;
    logging::Log m_log;
    metrics::Registry &m_registry;
    EvacuationProgress m_progress;
};

} // namespace basilhall::gateway
