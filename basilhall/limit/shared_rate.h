// A team's limit that all gateways share: each admits requests locally and receives the numbers of
// requests that the others admitted.
//
//     SharedRate rate(team.rate, now);
//     if (rate.admit(now)) { ... }
//     rate.onPeerAdmitted(3, now);
//     rate.setShare(1, 3, now);   // isolated: a third, until the other gateways are reachable
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/limit/rate.h"

#include <cstdint>
#include <optional>

namespace basilhall::limit
{

// Not thread-safe. All gateways together can exceed the limit by the requests that they admit while
// updates about them are in transit.
class SharedRate
{
public:
    // Starts empty and refills, since earlier admissions are not known.
    SharedRate(const Rate &rate, Instant now);

    // Takes one request. Returns false if the limit is reached, or if less than the fraction
    // `reserve` (0 to 1) of the burst would be left.
    bool admit(Instant now, double reserve = 0);
    // Returns one request, admitted at `admittedAt`, that did not run. False if the limit was full
    // since then: the request no longer counts.
    bool refund(Instant admittedAt, Instant now);
    // Other gateways have admitted `requests` more.
    void onPeerAdmitted(std::uint64_t requests, Instant now);
    // Other gateways returned `requests` that they had admitted and that did not run.
    void onPeerRefunded(std::uint64_t requests, Instant now);
    // Limits this gateway to the fraction `part` / `whole` of the rate and burst.
    void setShare(std::uint32_t part, std::uint32_t whole, Instant now);
    // Keeps the level, capped at the new burst.
    void setRate(const Rate &rate, Instant now);
    // Returns the time until one request can be admitted with `reserve`, or nullopt if the rate is
    // 0.
    std::optional<Duration> wait(Instant now, double reserve = 0);
    const Rate &rate() const { return m_rate; }

private:
    void refill(Instant now);
    double perSecond() const;
    double capacity() const;
    // Level from which a request is admitted.
    double neededLevel(double reserve) const;

    Rate m_rate;
    double m_share = 1.0;
    // Requests that can be admitted. Negative if other gateways admitted more than was left.
    double m_level = 0;
    Instant m_updated;
    // Last time at which all of the burst was available.
    Instant m_fullAt = Instant::min();
};

} // namespace basilhall::limit
