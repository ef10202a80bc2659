// A host's request to the limiter of a team, and the limiter's grant.
//
//     const GrantRequest ask{.team = team, .slice = 0, .number = 7, .settled = 6, .requests = 3};
//     const Result<Grant> grant = limiter.acquire(host, ask, now);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>

namespace basilhall::limit
{

// Asks for `requests`. Sent as wire::AcquireRequest together with the host's incarnation.
struct GrantRequest {
    TeamName team;
    // Index of the slice of the team's limit. Each slice has a separate limiter.
    std::uint32_t slice = 0;
    // Increases with each request of this incarnation for the team and slice, starting at 1. The
    // limiter answers a repeated number with the same grant.
    std::uint64_t number = 0;
    // All grants up to this number are spent or given up. The host ignores late answers to them.
    std::uint64_t settled = 0;
    std::uint32_t requests = 0;

    auto operator<=>(const GrantRequest &) const = default;
};

// Lets the host send `requests` within `validity`, counted from when the host sent the request.
struct Grant {
    std::uint32_t requests = 0;
    Duration validity{};

    auto operator<=>(const Grant &) const = default;
};

} // namespace basilhall::limit
