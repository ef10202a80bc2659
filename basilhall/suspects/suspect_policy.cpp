#include "basilhall/suspects/suspect_policy.h"

#include <algorithm>

namespace basilhall::suspects
{

namespace
{

Duration holdTime(std::uint32_t ends)
{
    Duration hold = kFirstHold;
    for (std::uint32_t further = kEndsForHold; further < ends && hold < kMaxHold; ++further) {
        hold *= kHoldFactor;
    }
    return std::min(hold, kMaxHold);
}

} // namespace

Verdict judge(const Suspicion &suspicion, Instant now)
{
    if (suspicion.ends == 0) {
        return {};
    }
    // Requests that ran at the same ends only cannot be told apart, and most of them are sound.
    const std::uint32_t ends = std::min(suspicion.ends, suspicion.strictEnds + 1);
    if (ends < kEndsForAlone) {
        return {Treatment::Apart, {}};
    }
    const bool isHeld = ends >= kEndsForHold;
    const Instant freeAt =
        std::max(suspicion.lastEnd, suspicion.lastRun) + (isHeld ? holdTime(ends) : kAlonePause);
    if (now < freeAt) {
        return {Treatment::Hold, freeAt - now};
    }
    return {Treatment::Alone, {}};
}

} // namespace basilhall::suspects
