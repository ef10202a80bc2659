#include "basilhall/gateway/host_load_monitor.h"

#include "basilhall/gateway/internal/call_log.h"
#include "basilhall/gateway/turn_keeper.h"
#include "basilhall/metrics/gauge.h"
#include "basilhall/metrics/process_usage.h"
#include "basilhall/metrics/registry.h"

#include <utility>

namespace basilhall::gateway
{

using hostload::LoadState;
using logging::Field;
using logging::Literal;
using metrics::Metric;

namespace
{

constexpr Duration kReportInterval = std::chrono::seconds(1);
// A host that uses this part of its limit has no processor time left: the rest is lost to the
// granularity of the limit.
constexpr double kExhaustedShare = 0.85;
constexpr double kMillisPerCore = 1000;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Literal sentence(LoadState state, double processorShare)
{
    if (state == LoadState::Normal) {
        return "The host keeps up with its work again.";
    }
    if (processorShare >= kExhaustedShare) {
        return "The host has no processor time left.";
    }
    return "The host is late with its work, though processor time is left.";
}

Literal stateName(LoadState state)
{
    switch (state) {
    case LoadState::Normal:
        return "normal";
    case LoadState::Late:
        return "late";
    case LoadState::Overloaded:
        return "overloaded";
    }
    return "unknown";
}

} // namespace

HostLoadMonitor::HostLoadMonitor(hostload::HostLoad &load, const TurnKeeper &keeper,
                                 const CallLog &calls, std::uint32_t processorMillis,
                                 logging::Log log, metrics::Registry &registry)
    : m_load(load)
    , m_keeper(keeper)
    , m_calls(calls)
    , m_cores(processorMillis == 0 ? 1.0 : processorMillis / kMillisPerCore)
    , m_log(std::move(log))
    , m_loopDelay(registry.gauge(Metric::LoopDelaySeconds))
    , m_state(registry.gauge(Metric::HostLoadState))
    , m_processorShare(registry.gauge(Metric::ProcessorShare))
    , m_pendingBytes(registry.gauge(Metric::JournalPendingBytes))
    , m_oldestPending(registry.gauge(Metric::JournalOldestPendingSeconds))
{
}

void HostLoadMonitor::onTimer(Instant due, Instant now)
{
    const bool hasChanged = m_load.onTimer(now - due, now);
    const bool isReportDue = !m_reportedAt || now - *m_reportedAt >= kReportInterval;
    if (!hasChanged && !isReportDue) {
        return;
    }
    if (isReportDue) {
        measureProcessor(now);
    }
    m_loopDelay.set(seconds(m_load.loopDelay()));
    m_state.set(static_cast<double>(m_load.state()));
    m_pendingBytes.set(static_cast<double>(m_keeper.pendingBytes()));
    m_oldestPending.set(seconds(oldestPendingAge(now)));
    if (hasChanged || m_load.state() != LoadState::Normal) {
        logState(now);
    }
}

void HostLoadMonitor::measureProcessor(Instant now)
{
    const double used = metrics::processUsage().cpuSeconds;
    if (m_reportedAt) {
        m_share = (used - m_cpuSeconds) / (seconds(now - *m_reportedAt) * m_cores);
    }
    m_processorShare.set(m_share);
    m_cpuSeconds = used;
    m_reportedAt = now;
}

void HostLoadMonitor::logState(Instant now) const
{
    m_log.warning(sentence(m_load.state(), m_share), Field("state", stateName(m_load.state())),
                  Field("loop_delay", m_load.loopDelay()), Field("processor_share", m_share),
                  Field("pending_bytes", m_keeper.pendingBytes()),
                  Field("oldest_record", oldestPendingAge(now)),
                  Field("running", m_calls.running()));
}

Duration HostLoadMonitor::oldestPendingAge(Instant now) const
{
    const auto since = m_keeper.oldestPendingSince();
    return since ? now - *since : Duration::zero();
}

} // namespace basilhall::gateway
