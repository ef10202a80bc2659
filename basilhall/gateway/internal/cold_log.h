// Log lines and metrics of cold endpoints.
//
//     log.report(placement.limits(), now);
#pragma once

#include "basilhall/logging/log.h"
#include "basilhall/metrics/registry.h"
#include "basilhall/placement/endpoint_limits.h"

namespace basilhall::gateway
{

// Not thread-safe. The registry must outlive it.
class ColdLog
{
public:
    ColdLog(logging::Log log, metrics::Registry &registry);

    // Reports what happened since the last call.
    void report(placement::EndpointLimits &limits, Instant now);

private:
    logging::Log m_log;
    metrics::Registry &m_registry;
    metrics::Counter &m_sends;
};

} // namespace basilhall::gateway
