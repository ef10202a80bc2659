// A team with its API keys, priority and rate limit.
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/limit/rate.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace basilhall::fleet
{

// Immutable value.
struct Team {
    TeamName name;
    std::vector<std::string> keys;
    // Overrides the priority of a route.
    std::optional<std::uint32_t> priority;
    // Nothing if the team has no rate limit.
    std::optional<limit::Rate> rate;
    // Names of the regions that requests may reach; empty if all of them.
    std::vector<std::string> allowedRegions{};

    auto operator<=>(const Team &) const = default;
};

} // namespace basilhall::fleet
