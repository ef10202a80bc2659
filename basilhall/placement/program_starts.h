// Decides how many programs may begin while endpoints state request limits.
//
// A program needs several requests of several services; if one of them has no endpoint without a
// limit, more programs than it can carry would all fail in the middle. While no service is limited,
// this class learns how many requests of each service follow from one first turn; while some are,
// it admits first turns at the rate that their limits can carry.
//
//     ProgramStarts starts;
//     starts.onRequest("tools", now);
//     starts.setRates({{"tools", 20.0}}, now);
//     if (starts.admits(now)) {
//         starts.onStart(now);
//     }
#pragma once

#include "basilhall/base/time.h"

#include <map>
#include <string>

namespace basilhall::placement
{

// Not thread-safe.
class ProgramStarts
{
public:
    // Requests a second that this gateway can send to each service that has endpoints with a limit.
    // Services without an entry are not limited.
    using Rates = std::map<std::string, double>;

    void setRates(Rates rates, Instant now);
    const Rates &rates() const { return m_rates; }
    // True if one more program may begin.
    bool admits(Instant now) const;
    void onStart(Instant now);
    // A request is sent for the first time.
    void onRequest(const std::string &service, Instant now);
    // Programs a second that the limits can carry; infinite if none is limited or nothing was
    // learned.
    double perSecond() const;

private:
    // Halves what was counted once every kHalfLife.
    void fade(Instant now);
    double level(Instant now) const;

    Rates m_rates;
    double m_starts = 0;
    std::map<std::string, double> m_requests;
    Instant m_fadedAt;
    double m_level = 0;
    Instant m_updated;
};

} // namespace basilhall::placement
