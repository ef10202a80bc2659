// Estimates the current arrival rate from the arrivals of about the last second.
//
//     ArrivalRate arrivals(now);
//     arrivals.onArrival(now);
//     arrivals.perSecond(now);   // requests per second
#pragma once

#include "basilhall/base/time.h"

namespace basilhall::limit
{

// Not thread-safe.
class ArrivalRate
{
public:
    explicit ArrivalRate(Instant now);

    void onArrival(Instant now);
    // Requests per second.
    double perSecond(Instant now) const;
    Instant lastArrival() const { return m_updated; }

private:
    Instant m_updated;
    // Arrivals, each weighted by exp(-age / kWindowSeconds).
    double m_weight = 0;
};

} // namespace basilhall::limit
