#include "basilhall/limit/rate.h"

#include <algorithm>

namespace basilhall::limit
{

namespace
{

// Returns the total burst, in requests, of the slices before `index`.
std::uint64_t burstBefore(std::uint32_t burst, std::uint32_t index, std::uint32_t count)
{
    const std::uint64_t remainder = burst % count;
    const std::uint64_t extra = index < remainder ? index : remainder;
    return std::uint64_t(burst / count) * index + extra;
}

} // namespace

Rate sliceOf(const Rate &rate, std::uint32_t index, std::uint32_t count)
{
    if (count <= 1 || rate.burst == 0) {
        return index == 0 ? rate : Rate{};
    }
    const std::uint64_t first = burstBefore(rate.burst, index, count);
    const std::uint64_t last = burstBefore(rate.burst, index + 1, count);
    const std::uint64_t rateFirst = rate.milliPerSecond * first / rate.burst;
    const std::uint64_t rateLast = rate.milliPerSecond * last / rate.burst;
    return Rate{rateLast - rateFirst, static_cast<std::uint32_t>(last - first)};
}

std::uint32_t slicesFor(const Rate &rate, std::uint32_t maxSlices)
{
    return std::clamp(rate.burst / kMinSliceBurst, 1U, std::max(maxSlices, 1U));
}

} // namespace basilhall::limit
