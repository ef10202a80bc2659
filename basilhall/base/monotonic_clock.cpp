#include "basilhall/base/monotonic_clock.h"

#include <ctime>

namespace basilhall
{

Instant MonotonicClock::now() const
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return Instant(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

WallMillis MonotonicClock::wallMillis() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace basilhall
