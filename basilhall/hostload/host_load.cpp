#include "basilhall/hostload/host_load.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace basilhall::hostload
{

namespace
{

// Time after which a sample counts for 1/e of its weight.
constexpr Duration kSmoothing = std::chrono::milliseconds(600);
// A longer delay, such as that of a suspended host, counts as this, so that it is soon forgotten.
constexpr Duration kMaxDelay = std::chrono::seconds(1);
// A state begins at its first limit and ends below its second one.
constexpr Duration kLateFrom = std::chrono::milliseconds(40);
constexpr Duration kLateUntil = std::chrono::milliseconds(20);
constexpr Duration kOverloadedFrom = std::chrono::milliseconds(150);
constexpr Duration kOverloadedUntil = std::chrono::milliseconds(80);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

bool HostLoad::onTimer(Duration lateBy, Instant now)
{
    const Duration delay = std::clamp(lateBy, Duration::zero(), kMaxDelay);
    // Weighted by time: a late timer fires less often.
    const Duration elapsed =
        std::clamp(m_updatedAt ? now - *m_updatedAt : delay, Duration::zero(), kSmoothing);
    m_updatedAt = now;
    const double weight = 1 - std::exp(-seconds(elapsed) / seconds(kSmoothing));
    m_loopDelay += std::chrono::duration_cast<Duration>((delay - m_loopDelay) * weight);
    const LoadState next = nextState();
    return std::exchange(m_state, next) != next;
}

LoadState HostLoad::nextState() const
{
    const bool wasOverloaded = m_state == LoadState::Overloaded;
    const bool wasLate = m_state != LoadState::Normal;
    if (m_loopDelay >= (wasOverloaded ? kOverloadedUntil : kOverloadedFrom)) {
        return LoadState::Overloaded;
    }
    if (m_loopDelay >= (wasLate ? kLateUntil : kLateFrom)) {
        return LoadState::Late;
    }
    return LoadState::Normal;
}

} // namespace basilhall::hostload
