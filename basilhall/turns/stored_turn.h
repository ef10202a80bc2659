// Where a kept turn is stored, without its content.
//
//     StoredTurn stored{journal, batch, previous, keptUntil};
#pragma once

#include "basilhall/turns/kept_turn.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace basilhall::turns
{

// Immutable value.
struct StoredTurn {
    // The journal, and the number of the batch in it; batch 0 if it is only known that another
    // gateway keeps the turn.
    Incarnation journal;
    std::uint64_t batch = 0;
    // Empty at the start of a chain.
    TurnId previous;
    // Wall-clock time in ms until which the turn and its chain are kept.
    WallMillis keptUntil = 0;
    // See KeptTurn.
    std::vector<std::string> allowedRegions{};

    auto operator<=>(const StoredTurn &) const = default;
};

} // namespace basilhall::turns
