// How long spending counts.
#pragma once

#include "basilhall/base/monotonic_clock.h"

namespace basilhall::gateway
{

// A program whose budget is spent may come back for as long as turns are kept; the users' routes
// keep them for 60 s.
inline constexpr WallMillis kSpendingKeptMillis = 120'000;

// Until when a record of spending that is written now has to stand.
inline WallMillis spendingKeptUntil()
{
    return MonotonicClock().wallMillis() + kSpendingKeptMillis;
}

} // namespace basilhall::gateway
