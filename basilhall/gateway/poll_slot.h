// Schedules periodic work on one gateway at a time, using only the wall clocks of the gateways.
//
//     timer.expires_after(untilPollSlot(clock.wallMillis(), 700ms, {.rank = 2, .members = 19}));
#pragma once

#include "basilhall/base/time.h"

#include <cstddef>

namespace basilhall::gateway
{

// Immutable value.
struct FleetPosition {
    // Number of gateways that are sorted before this one.
    std::size_t rank = 0;
    // Number of all gateways including this one; at least 1.
    std::size_t members = 1;

    auto operator<=>(const FleetPosition &) const = default;
};

// Returns the time until the next slot of this gateway begins. Slots of length `slot` (a positive
// number of whole milliseconds) are assigned to the gateways in rotation. The result is positive
// and at most one rotation.
Duration untilPollSlot(WallMillis now, Duration slot, const FleetPosition &place);

} // namespace basilhall::gateway
