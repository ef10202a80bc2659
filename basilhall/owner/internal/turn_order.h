// Decides which call of a program runs next. Not API.
#pragma once

#include "basilhall/owner/internal/owner_state.h"

#include <optional>

namespace basilhall::owner::internal
{

// Moves the call that runs next to the front of the queue and returns it; null if none may run now.
// A call without a turn number runs after all calls that arrived before it. A call with one runs
// once `nextTurn` has reached it.
Call *selectNext(CallQueue &queue, std::uint64_t nextTurn);

// Returns the error if `call` must not become the next turn of the program.
std::optional<Error> refusalOfTurn(const OwnerState &state, const ProgramId &program,
                                   const Call &call, std::uint64_t nextTurn);

} // namespace basilhall::owner::internal
