#include "basilhall/placement/send_allowance.h"

#include <algorithm>

namespace basilhall::placement
{

namespace
{

// Time until the bucket holds a whole request is rounded up, so that it does when the wait ends.
constexpr Duration kRounding = std::chrono::microseconds(1);
constexpr Duration kMaxWait = std::chrono::hours(1);

} // namespace

SendAllowance::SendAllowance(const RateShare &share, Instant now)
    : m_share(share)
    , m_level(std::min(1.0, share.burst))
    , m_updated(now)
{
}

double SendAllowance::level(Instant now) const
{
    const double elapsed =
        std::chrono::duration<double>(std::max(now - m_updated, Duration::zero())).count();
    return std::min(m_share.burst, m_level + elapsed * m_share.perSecond);
}

bool SendAllowance::admits(Instant now) const
{
    return m_share.perSecond > 0 && level(now) >= 1;
}

void SendAllowance::onSent(Instant now)
{
    m_level = level(now) - 1;
    m_updated = std::max(m_updated, now);
}

bool SendAllowance::lend(Instant now)
{
    if (!admits(now)) {
        return false;
    }
    onSent(now);
    return true;
}

std::optional<Duration> SendAllowance::wait(Instant now) const
{
    if (m_share.perSecond <= 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> missing((1 - level(now)) / m_share.perSecond);
    if (missing.count() <= 0) {
        return Duration::zero();
    }
    return missing >= kMaxWait ? kMaxWait
                               : std::chrono::duration_cast<Duration>(missing) + kRounding;
}

void SendAllowance::setShare(const RateShare &share, Instant now)
{
    m_level = std::min(level(now), share.burst);
    m_updated = std::max(m_updated, now);
    m_share = share;
}

} // namespace basilhall::placement
