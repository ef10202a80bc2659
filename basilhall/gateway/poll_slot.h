// Spreads work that one gateway at a time is to do over all gateways, by their clocks alone.
//
//     timer.expires_after(untilPollSlot(clock.wallMillis(), 700ms, {.rank = 2, .members = 19}));
#pragma once

#include "basilhall/base/time.h"

#include <cstddef>

namespace basilhall::gateway
{

// Immutable value.
struct FleetPlace {
    // Number of gateways that come before this one.
    std::size_t rank = 0;
    // All gateways, this one included; at least 1.
    std::size_t members = 1;

    auto operator<=>(const FleetPlace &) const = default;
};

// Returns the time until this gateway's next slot begins: slots of length `slot` (whole
// milliseconds, positive) go round the gateways. Never zero, and at most one round.
Duration untilPollSlot(WallMillis now, Duration slot, const FleetPlace &place);

} // namespace basilhall::gateway
