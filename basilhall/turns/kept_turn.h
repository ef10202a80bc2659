// A stored turn of a conversation. Each turn names the one it continues, which forms a chain.
//
//     KeptTurn turn{id, team, previous, "input", "output", keptUntil};
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <compare>
#include <string>
#include <vector>

namespace basilhall::turns
{

// Identifies a turn; equal to the identifier of the request that created it.
using TurnId = Identifier<struct TurnIdTag>;

// Immutable value.
struct KeptTurn {
    TurnId id;
    TeamName team;
    // Empty at the start of a chain.
    TurnId previous;
    // The text that the caller added with this turn.
    std::string input;
    // The data of every event of the answer, each followed by a line feed.
    std::string output;
    // Wall-clock time in ms until which the turn and its chain are kept.
    WallMillis keptUntil = 0;
    // Names of the regions whose hosts may hold the turn, as they were when it was kept; empty if
    // all may. The gateway that a caller is connected to may hold it in any case.
    std::vector<std::string> allowedRegions{};

    auto operator<=>(const KeptTurn &) const = default;
};

} // namespace basilhall::turns
