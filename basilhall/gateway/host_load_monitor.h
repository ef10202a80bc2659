// Samples the load of this host, and shows it in logs and metrics.
//
//     HostLoadMonitor monitor(state.hostLoad(), keeper, callLog, millis, log, registry);
//     monitor.onTimer(due, now);
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/hostload/host_load.h"
#include "basilhall/logging/log.h"

#include <cstdint>
#include <optional>

namespace basilhall::metrics
{
class Gauge;
class Registry;
} // namespace basilhall::metrics

namespace basilhall::gateway
{

class CallLog;
class TurnKeeper;

// Logs a line when the state changes and every second while the host is late. Not thread-safe. The
// references must outlive it.
class HostLoadMonitor
{
public:
    // `processorMillis` is the processor limit of the host in thousandths of a core; 0 if there is
    // none.
    HostLoadMonitor(hostload::HostLoad &load, const TurnKeeper &keeper, const CallLog &calls,
                    std::uint32_t processorMillis, logging::Log log, metrics::Registry &registry);

    // Call some tens of times a second, from a timer that was due at `due`.
    void onTimer(Instant due, Instant now);

private:
    // Measures the processor time since the last report.
    void measureProcessor(Instant now);
    void logState(Instant now) const;
    Duration oldestPendingAge(Instant now) const;

    hostload::HostLoad &m_load;
    const TurnKeeper &m_keeper;
    const CallLog &m_calls;
    double m_cores;
    logging::Log m_log;
    metrics::Gauge &m_loopDelay;
    metrics::Gauge &m_state;
    metrics::Gauge &m_processorShare;
    metrics::Gauge &m_pendingBytes;
    metrics::Gauge &m_oldestPending;
    std::optional<Instant> m_reportedAt;
    double m_cpuSeconds = 0;
    double m_share = 0;
};

} // namespace basilhall::gateway
