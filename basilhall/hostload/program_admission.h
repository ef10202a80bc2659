// Decides whether a request is refused because this host is late with its own work.
//
// A host without processor time left is late with everything: callers give up on answers that are
// under way and send their requests again, so it does ever more work of which nothing ends in time.
// Refusing first turns at once costs little and gives the time to programs that have begun. Less
// urgent programs are refused first, the share grows with the delay, and a hash of the program
// decides who belongs to it, so that retries do not pass by chance.
//
//     if (hostload::refusesProgram(load.loopDelay(), priority, hash)) { ... }
#pragma once

#include "basilhall/base/time.h"

#include <cstdint>

namespace basilhall::hostload
{

// Returns the share of new programs, from 0 to 1, that is refused at this HostLoad::loopDelay().
// `priority` 0 is the most urgent.
double refusedShare(Duration loopDelay, std::uint32_t priority);

// `programHash` is uniformly distributed over the programs.
bool refusesProgram(Duration loopDelay, std::uint32_t priority, std::uint64_t programHash);

// Returns the time after which a refused program may try again: longer the later the host is, and
// spread so that the refused programs do not return together.
Duration retryAfter(Duration loopDelay, std::uint64_t programHash);

// Returns the time that this host takes at least to answer a request that it receives now, not
// counting the endpoint; zero while it is on time.
Duration minServiceTime(Duration loopDelay);

} // namespace basilhall::hostload
