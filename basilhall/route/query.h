// A call that needs an endpoint, and the endpoint chosen for it.
#pragma once

#include "basilhall/base/identifier.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace basilhall::route
{

// Immutable value.
struct Query {
    ProgramId program;
    // Tokens of the whole prompt, history included.
    std::uint64_t promptTokens = 0;
    // Failure domain of the querying host.
    FailureDomain domain;
    // Endpoints that have already refused this call.
    std::vector<EndpointName> excluded;

    auto operator<=>(const Query &) const = default;
};

// Immutable value.
struct Choice {
    EndpointName endpoint;
    // Prompt tokens expected in the endpoint's cache.
    std::uint64_t expectedCachedTokens = 0;
    // Expected seconds until the endpoint begins the call.
    double waitSeconds = 0;

    auto operator<=>(const Choice &) const = default;
};

} // namespace basilhall::route
