#include "basilhall/limit/shared_rate.h"

#include <algorithm>

namespace basilhall::limit
{

namespace
{

constexpr double kMilli = 1000.0;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

SharedRate::SharedRate(const Rate &rate, Instant now)
    : m_rate(rate)
    , m_updated(now)
{
}

double SharedRate::perSecond() const
{
    return static_cast<double>(m_rate.milliPerSecond) / kMilli * m_share;
}

double SharedRate::capacity() const
{
    return std::max(1.0, static_cast<double>(m_rate.burst) * m_share);
}

void SharedRate::refill(Instant now)
{
    if (now > m_updated) {
        m_level += perSecond() * seconds(now - m_updated);
        m_updated = now;
        if (m_level >= capacity()) {
            m_level = capacity();
            m_fullAt = now;
        }
    }
}

bool SharedRate::admit(Instant now, double reserve)
{
    refill(now);
    if (m_level < neededLevel(reserve)) {
        return false;
    }
    m_level -= 1.0;
    return true;
}

bool SharedRate::refund(Instant admittedAt, Instant now)
{
    refill(now);
    if (admittedAt <= m_fullAt) {
        return false;
    }
    m_level = std::min(capacity(), m_level + 1.0);
    return true;
}

double SharedRate::neededLevel(double reserve) const
{
    return std::min(1.0 + reserve * capacity(), capacity());
}

void SharedRate::onPeerAdmitted(std::uint64_t requests, Instant now)
{
    refill(now);
    m_level = std::max(m_level - static_cast<double>(requests), -capacity());
}

void SharedRate::onPeerRefunded(std::uint64_t requests, Instant now)
{
    refill(now);
    m_level = std::min(m_level + static_cast<double>(requests), capacity());
}

void SharedRate::setShare(std::uint32_t part, std::uint32_t whole, Instant now)
{
    refill(now);
    m_share = whole == 0 ? 1.0 : static_cast<double>(part) / whole;
    m_level = std::min(m_level, capacity());
}

void SharedRate::setRate(const Rate &rate, Instant now)
{
    refill(now);
    m_rate = rate;
    m_level = std::min(m_level, capacity());
}

std::optional<Duration> SharedRate::wait(Instant now, double reserve)
{
    refill(now);
    const double needed = neededLevel(reserve);
    if (m_level >= needed) {
        return Duration::zero();
    }
    if (perSecond() <= 0) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>((needed - m_level) / perSecond()));
}

} // namespace basilhall::limit
