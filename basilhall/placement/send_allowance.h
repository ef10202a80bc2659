// The requests that this gateway may send to one endpoint that states a limit: a token bucket.
//
//     SendAllowance allowance(share, now);
//     if (allowance.admits(now)) {
//         allowance.onSent(now);
//     }
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/placement/rate_share.h"

#include <optional>

namespace basilhall::placement
{

// Not thread-safe.
class SendAllowance
{
public:
    // Starts with one request, unless the share is 0.
    SendAllowance(const RateShare &share, Instant now);

    bool admits(Instant now) const;
    void onSent(Instant now);
    // Lets another gateway send one request instead. Returns false if there is none in stock.
    bool lend(Instant now);
    // Returns the time until one request may be sent, or nullopt if the share is 0.
    std::optional<Duration> wait(Instant now) const;
    // Keeps what is in stock, capped at the new burst.
    void setShare(const RateShare &share, Instant now);
    const RateShare &share() const { return m_share; }

private:
    double level(Instant now) const;

    RateShare m_share;
    double m_level;
    Instant m_updated;
};

} // namespace basilhall::placement
