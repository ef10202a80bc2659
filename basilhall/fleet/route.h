// A route: the services that requests of one path prefix go to, and the rules for these requests.
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/fleet/call_kind.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace basilhall::fleet
{

// A service and its share of the requests of a route.
struct WeightedService {
    std::string service;
    std::uint32_t weight = 0;

    auto operator<=>(const WeightedService &) const = default;
};

// Immutable value.
struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    CallKind kind = CallKind::NonIdempotent;
    // Maximum time from the arrival of a request to the end of its answer.
    Duration timeout{};
    // Maximum number of endpoints on which one request may run.
    std::uint32_t maxAttempts = 1;
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // At least one.
    std::vector<WeightedService> services;
    // Requests need no API key.
    bool isPublic = false;
    // A broken stream may continue at another endpoint.
    bool isResumable = false;
    // Turns are stored, and a turn may refer to the one before it.
    bool keepsTurns = false;
    // Time for which a turn is stored after its end.
    Duration retention{};
    // Names of the regions that requests may reach; empty if all of them.
    std::vector<std::string> allowedRegions{};

    auto operator<=>(const Route &) const = default;
};

// True if a request of the route may run again after it may have run.
constexpr bool isRepeatable(const Route &route)
{
    return route.kind == CallKind::Idempotent
        || (route.kind == CallKind::Stream && route.isResumable);
}

} // namespace basilhall::fleet
