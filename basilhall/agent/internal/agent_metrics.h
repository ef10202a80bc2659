// The metrics of an agent, looked up once at construction.
//
//     AgentMetrics metrics(registry);
//     metrics.running.set(3);
#pragma once

#include "basilhall/metrics/registry.h"
#include "basilhall/wire/wire.pb.h"

namespace basilhall::agent::internal
{

// Thread-safe.
struct AgentMetrics {
    explicit AgentMetrics(metrics::Registry &registry)
        : healthy(registry.gauge(metrics::Metric::EndpointHealthy))
        , running(registry.gauge(metrics::Metric::EndpointRunning))
        , queued(registry.gauge(metrics::Metric::EndpointQueued))
        , cachedPrograms(registry.gauge(metrics::Metric::EndpointCachedPrograms))
        , cancelled(registry.counter(metrics::Metric::EndpointCancellations, "abandoned"))
        , promptTokens(registry.counter(metrics::Metric::EndpointTokens, "prompt"))
        , cachedTokens(registry.counter(metrics::Metric::EndpointTokens, "cached"))
        , completionTokens(registry.counter(metrics::Metric::EndpointTokens, "completion"))
    {
    }

    void addTokens(const wire::Usage &usage)
    {
        promptTokens.add(usage.prompt_tokens());
        cachedTokens.add(usage.cached_tokens());
        completionTokens.add(usage.completion_tokens());
    }

    metrics::Gauge &healthy;
    metrics::Gauge &running;
    metrics::Gauge &queued;
    metrics::Gauge &cachedPrograms;
    metrics::Counter &cancelled;
    metrics::Counter &promptTokens;
    metrics::Counter &cachedTokens;
    metrics::Counter &completionTokens;
};

} // namespace basilhall::agent::internal
