// The lease and grant durations of team limits in a fleet of entry hosts.
//
//     limit::Limiter limiter(fleetLimitTimes());
#pragma once

#include "basilhall/limit/limit_times.h"

namespace basilhall::entry
{

// A host renews its lease about once a second, so a short lease is sufficient. It lets a successor
// start sooner.
inline limit::LimitTimes fleetLimitTimes()
{
    limit::LimitTimes times;
    times.lease = std::chrono::seconds(3);
    return times;
}

} // namespace basilhall::entry
