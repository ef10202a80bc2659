// JSON documents about a program, for callers and operators. Not API.
#pragma once

#include "basilhall/owner/internal/owner_state.h"

#include <string>

namespace basilhall::owner::internal
{

// Returns the team, owner, budget and number of turns of the program, and the phase of its call in
// progress.
std::string statusDocument(const OwnerState &state, const program::Program &program);

// Returns the durable turns in order, each with its call, its outcome, and its messages or answer.
std::string historyDocument(const OwnerState &state, const program::Program &program);

} // namespace basilhall::owner::internal
