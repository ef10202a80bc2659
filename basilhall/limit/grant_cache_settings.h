// Settings of GrantCache, the host side of the limits.
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>

namespace basilhall::limit
{

// Immutable value.
struct GrantCacheSettings {
    // A prefetch asks for the requests expected within this time.
    Duration prefetchHorizon = std::chrono::milliseconds(200);
    // Arrival rate of a team, in requests per second, from which grants are prefetched.
    double prefetchThresholdPerSecond = 20;
    // Maximum number of requests in one grant request.
    std::uint32_t maxRequests = 10'000;
    // Maximum number of calls of one team that wait for the limiter's answer.
    std::uint32_t maxWaiting = 10'000;
    // A team that was not used for this long is forgotten. Longer than the validity of any grant.
    Duration forgetAfter = std::chrono::seconds(10);

    auto operator<=>(const GrantCacheSettings &) const = default;
};

} // namespace basilhall::limit
