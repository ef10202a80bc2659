#include "basilhall/limit/arrival_rate.h"

#include <cmath>

namespace basilhall::limit
{

namespace
{

constexpr double kWindowSeconds = 1.0;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ArrivalRate::ArrivalRate(Instant now)
    : m_updated(now)
{
}

void ArrivalRate::onArrival(Instant now)
{
    m_weight = perSecond(now) * kWindowSeconds + 1;
    m_updated = now;
}

double ArrivalRate::perSecond(Instant now) const
{
    return m_weight * std::exp(-seconds(now - m_updated) / kWindowSeconds) / kWindowSeconds;
}

} // namespace basilhall::limit
