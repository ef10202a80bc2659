#include "basilhall/entry/call_metrics.h"

#include "basilhall/metrics/registry.h"

namespace basilhall::entry
{

using metrics::Metric;

namespace
{

double secondsBetween(Instant begin, Instant end)
{
    return std::chrono::duration<double>(end - begin).count();
}

} // namespace

CallMetrics::CallMetrics(metrics::Registry &registry)
    : m_registry(registry)
    , m_modelCalls(registry.counter(Metric::CallsStarted, "model"))
    , m_serviceCalls(registry.counter(Metric::CallsStarted, "service"))
    , m_finished(registry.counter(Metric::CallsFinished, "ok"))
    , m_modelSeconds(registry.quantile(Metric::CallSeconds, "model"))
    , m_serviceSeconds(registry.quantile(Metric::CallSeconds, "service"))
    , m_firstTokenSeconds(registry.quantile(Metric::FirstTokenSeconds))
{
}

void CallMetrics::refused(const Error &error)
{
    m_registry.counter(Metric::CallsRefused, errorTraits(error.kind()).name).add();
}

void CallMetrics::countFailure(const wire::ErrorReply &error)
{
    // A peer of another version may send an error kind that is unknown here.
    const bool isKnown = errorKindFromName(error.kind()).has_value();
    const std::string_view kind = isKnown ? std::string_view(error.kind()) : "internal";
    m_registry.counter(Metric::CallsFinished, kind).add();
    if (error.not_run()) {
        m_registry.counter(Metric::CallsRefused, kind).add();
    }
}

CallObservation::CallObservation(CallMetrics &metrics, wire::CallKind kind, Instant begin)
    : m_metrics(metrics)
    , m_isModel(kind == wire::CALL_KIND_MODEL)
    , m_begin(begin)
{
    (m_isModel ? metrics.m_modelCalls : metrics.m_serviceCalls).add();
}

void CallObservation::replied(const wire::CallReply &reply, Instant now)
{
    const double seconds = secondsBetween(m_begin, now);
    if (reply.has_error()) {
        m_metrics.countFailure(reply.error());
    } else if (reply.has_finished()) {
        m_metrics.m_finished.add();
        (m_isModel ? m_metrics.m_modelSeconds : m_metrics.m_serviceSeconds).observe(seconds);
    } else if (reply.event_case() == wire::CallReply::kChunk && !m_hasChunk) {
        m_hasChunk = true;
        m_metrics.m_firstTokenSeconds.observe(seconds);
    }
}

} // namespace basilhall::entry
