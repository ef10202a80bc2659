// Identifies one slice of a team's limit.
#pragma once

#include "basilhall/base/identifier.h"

#include <compare>
#include <cstdint>

namespace basilhall::limit
{

// Immutable value.
struct SliceKey {
    TeamName team;
    std::uint32_t slice = 0;

    auto operator<=>(const SliceKey &) const = default;
};

struct SliceKeyHash {
    std::size_t operator()(const SliceKey &key) const noexcept
    {
        return std::hash<TeamName>()(key.team) ^ (key.slice * 0x9e3779b97f4a7c15ULL);
    }
};

} // namespace basilhall::limit
