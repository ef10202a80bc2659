// Changes of what a gateway has used of the limit of a team.
//
//     for (const TeamUse &use : state.takeTeamUses()) { ... }
#pragma once

#include "basilhall/base/identifier.h"

#include <compare>
#include <cstdint>

namespace basilhall::gateway
{

// Immutable value.
struct TeamUse {
    TeamName team;
    // Requests that were admitted since the last report.
    std::uint64_t admitted = 0;
    // Requests of earlier reports that did not run.
    std::uint64_t refunded = 0;

    auto operator<=>(const TeamUse &) const = default;
};

} // namespace basilhall::gateway
