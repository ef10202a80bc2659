// The requests that may crash endpoints, and the endpoints that run them for this gateway now.
//
//     SuspectRuns runs;
//     const SuspectRuns::Place place = runs.enter(key, endpoint, isLikely);
//     if (runs.isRunning(key)) { ... }
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/suspects/request_key.h"

#include <memory>
#include <set>
#include <vector>

namespace basilhall::gateway
{

// Not thread-safe.
class SuspectRuns
{
public:
    // A run, which ends with the destruction of this object. May outlive the SuspectRuns.
    using Place = std::shared_ptr<const void>;

    // `isLikely` if the request is likely to crash the endpoint.
    Place enter(suspects::RequestKey key, const EndpointName &endpoint, bool isLikely);
    bool isRunning(suspects::RequestKey key) const;
    // The endpoints that run suspects.
    std::set<EndpointName> endpoints() const;
    // The endpoints that are likely to be crashed.
    std::set<EndpointName> endangered() const;

private:
    struct Run {
        suspects::RequestKey key;
        EndpointName endpoint;
        bool isLikely = false;
    };

    std::vector<std::weak_ptr<const Run>> m_runs;
};

} // namespace basilhall::gateway
