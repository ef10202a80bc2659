// Splits a kept turn that is too large to be stored or sent at once into a chain of smaller turns
// that make the same prompt. Whatever stores, sends or reads turns needs no knowledge of it.
//
//     for (const KeptTurn &piece : splitTurn(std::move(turn), 512 * 1024)) { ... }
#pragma once

#include "basilhall/turns/kept_turn.h"

#include <cstddef>
#include <vector>

namespace basilhall::turns
{

// Returns the pieces in the order of their chain, each with `maxBytes` of input and output at most;
// only the turn itself if it is not larger. The last piece has the identifier of the turn, so the
// turn exists once that one does. The other identifiers contain a line feed, so that no caller can
// name them. `maxBytes` must not be 0.
std::vector<KeptTurn> splitTurn(KeptTurn turn, std::size_t maxBytes);

} // namespace basilhall::turns
