// Retention of spending records.
//
//     cleaner.onLedger(incarnation, spendingKeptUntil());
#pragma once

#include "basilhall/base/monotonic_clock.h"

namespace basilhall::gateway
{

// A program whose budget is exhausted may send requests for as long as its turns are kept, which is
// 60 s on the routes in use.
inline constexpr WallMillis kSpendingRetentionMillis = 120'000;

// Returns the wall-clock time in ms until which a spending record written now must be kept.
inline WallMillis spendingKeptUntil()
{
    return MonotonicClock().wallMillis() + kSpendingRetentionMillis;
}

} // namespace basilhall::gateway
