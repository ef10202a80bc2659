#include "basilhall/gateway/poll_slot.h"

#include <chrono>

namespace basilhall::gateway
{

Duration untilPollSlot(WallMillis now, Duration slot, const FleetPosition &place)
{
    using std::chrono::milliseconds;
    const WallMillis length = std::chrono::duration_cast<milliseconds>(slot).count();
    const WallMillis rotation = length * static_cast<WallMillis>(place.members);
    const WallMillis offset = length * static_cast<WallMillis>(place.rank);
    const WallMillis since = (now - offset) % rotation;
    return milliseconds(since < 0 ? -since : rotation - since);
}

} // namespace basilhall::gateway
