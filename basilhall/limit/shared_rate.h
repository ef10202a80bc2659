// A team's limit that every gateway admits from at once, each hearing what the others admitted.
//
//     SharedRate rate(team.rate, now);
//     if (rate.admit(now)) { ... }
//     rate.onPeerAdmitted(3, now);
//     rate.setShare(1, 3, now); // alone: a third, until the others are heard again
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/limit/rate.h"

#include <cstdint>
#include <optional>

namespace basilhall::limit
{

// Not thread-safe. The sum over the gateways exceeds the limit by what they admit while news of it
// travels.
class SharedRate
{
public:
    // Starts with nothing and refills: what was admitted before is not known.
    SharedRate(const Rate &rate, Instant now);

    // Takes one request; false if the limit is reached, or if less than `reserve` of the burst (0
    // to 1) would be left.
    bool admit(Instant now, double reserve = 0);
    // A request that was admitted has not run.
    void giveBack(Instant now);
    // Others have admitted `requests` more.
    void onPeerAdmitted(std::uint64_t requests, Instant now);
    // Admits `part` of `whole` of the rate.
    void setShare(std::uint32_t part, std::uint32_t whole, Instant now);
    // Keeps the level, at most the new burst.
    void setRate(const Rate &rate, Instant now);
    // Time until one request can be admitted with that reserve; nothing if the rate is 0.
    std::optional<Duration> wait(Instant now, double reserve = 0);
    const Rate &rate() const { return m_rate; }

private:
    void refill(Instant now);
    double perSecond() const;
    double capacity() const;

    Rate m_rate;
    double m_share = 1.0;
    // Requests that can be admitted; below zero if others took more than was left.
    double m_level = 0;
    Instant m_updated;
};

} // namespace basilhall::limit
