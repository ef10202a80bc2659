// Exponential delay between the attempts of one operation on the object API.
//
//     Backoff backoff;
//     retryAt = now + backoff.next(); // 50 ms, then 100 ms, ... up to 2 s
//     backoff.reset();                // after a success
#pragma once

#include "basilhall/base/time.h"

#include <algorithm>

namespace basilhall::store
{

// Not thread-safe. Doubles from kInitialDelay to kMaxDelay. There is no jitter because each host
// writes rarely and the hosts do not recover from an outage at the same instant.
class Backoff
{
public:
    static constexpr Duration kInitialDelay = std::chrono::milliseconds(50);
    static constexpr Duration kMaxDelay = std::chrono::seconds(2);

    Duration next()
    {
        const Duration delay = m_delay;
        m_delay = std::min(m_delay * 2, kMaxDelay);
        return delay;
    }
    void reset() { m_delay = kInitialDelay; }

private:
    Duration m_delay = kInitialDelay;
};

} // namespace basilhall::store
