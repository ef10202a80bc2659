// A team is a tenant with separate keys, token share, rate limit and budget.
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/manifest/priority.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::manifest
{

// Immutable value.
struct Team {
    TeamName name;
    // Share of tokens relative to the other teams.
    std::uint32_t weight = 1;
    // Rate and burst limits apply to all hosts together.
    double requestsPerSecond = 0;
    // Maximum number of requests in one burst.
    std::uint32_t burst = 1;
    // Tokens that one program may spend, sub-agents included.
    std::uint64_t programBudgetTokens = 0;
    // SHA-256 of each key, as 64 lower-case hexadecimal digits.
    std::vector<std::string> keyDigests;
    Priority priority = Priority::Normal;
    // Routes that the team may use; empty stands for all.
    std::vector<std::string> routes;
    // Models that the team may use; empty stands for all.
    std::vector<ModelName> models;

    bool mayUseRoute(std::string_view route) const;
    bool mayUseModel(std::string_view model) const;

    auto operator<=>(const Team &) const = default;
};

} // namespace basilhall::manifest
