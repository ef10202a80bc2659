// The clock of a real process: CLOCK_BOOTTIME, which runs on through a suspend.
#pragma once

#include "basilhall/base/time.h"

namespace basilhall
{

// Thread-safe; stateless.
class MonotonicClock
{
public:
    Instant now() const;
    // Wall-clock time for audit records.
    WallMillis wallMillis() const;
};

} // namespace basilhall
