// Counts the calls of callers on one traffic thread.
//
//     CallMetrics metrics(registry);
//     CallObservation call(metrics, wire::CALL_KIND_MODEL, now);
//     call.replied(reply, now); // for each reply
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/base/time.h"
#include "basilhall/wire/wire.pb.h"

namespace basilhall::metrics
{
class Counter;
class Quantile;
class Registry;
} // namespace basilhall::metrics

namespace basilhall::entry
{

// Thread-safe. The registry must outlive it.
class CallMetrics
{
public:
    explicit CallMetrics(metrics::Registry &registry);

    // Counts a request that was rejected with an error before it became a call.
    void refused(const Error &error);

private:
    friend class CallObservation;

    void countFailure(const wire::ErrorReply &error);

    metrics::Registry &m_registry;
    metrics::Counter &m_modelCalls;
    metrics::Counter &m_serviceCalls;
    metrics::Counter &m_finished;
    metrics::Quantile &m_modelSeconds;
    metrics::Quantile &m_serviceSeconds;
    metrics::Quantile &m_firstTokenSeconds;
};

// Records the metrics of one call. Not thread-safe.
class CallObservation
{
public:
    CallObservation(CallMetrics &metrics, wire::CallKind kind, Instant begin);

    void replied(const wire::CallReply &reply, Instant now);

private:
    CallMetrics &m_metrics;
    const bool m_isModel;
    const Instant m_begin;
    bool m_hasChunk = false;
};

} // namespace basilhall::entry
