#include "basilhall/gateway/poll_slot.h"

#include <chrono>

namespace basilhall::gateway
{

Duration untilPollSlot(WallMillis now, Duration slot, const FleetPlace &place)
{
    using std::chrono::milliseconds;
    const WallMillis length = std::chrono::duration_cast<milliseconds>(slot).count();
    const WallMillis round = length * static_cast<WallMillis>(place.members);
    const WallMillis own = length * static_cast<WallMillis>(place.rank);
    const WallMillis since = (now - own) % round;
    return milliseconds(since < 0 ? -since : round - since);
}

} // namespace basilhall::gateway
