// One turn of a chain, as it is kept.
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <compare>
#include <string>

namespace basilhall::turns
{

// Name of a turn: the identifier of the request that made it.
using TurnId = Identifier<struct TurnIdTag>;

// Immutable value.
struct KeptTurn {
    TurnId id;
    TeamName team;
    // Empty at the start of a chain.
    TurnId previous;
    // What the caller added with this turn.
    std::string input;
    // The data of each event, each followed by a line feed.
    std::string output;
    // Wall-clock time, in ms, until which the turn and its chain are kept.
    WallMillis keptUntil = 0;

    auto operator<=>(const KeptTurn &) const = default;
};

} // namespace basilhall::turns
