// Estimates how much slower than expected one endpoint has been lately, from the answers that all
// gateways got from it. It affects the order in which endpoints are chosen and never excludes one,
// so an endpoint that recovers gets requests again.
//
//     EndpointPace pace;
//     pace.add({1, 4.2}, now);   // one answer took 4.2 times the expected time
//     double factor = pace.factor(now);
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>

namespace basilhall::placement
{

// Answers of an endpoint, and the sum of their times divided by the expected times.
struct PaceSample {
    std::uint32_t answers = 0;
    double ratioSum = 0;

    auto operator<=>(const PaceSample &) const = default;
};

// Ratio that counts for a request that the endpoint failed: about the time that it costs the
// caller to repeat the request.
inline constexpr double kFailureRatio = 6;

// Not thread-safe.
class EndpointPace
{
public:
    void add(const PaceSample &sample, Instant now);
    // Factor by which the endpoint is expected to take longer; 1 unless it is clearly slow.
    double factor(Instant now) const;

private:
    double decay(Instant now) const;

    double m_answers = 0;
    double m_ratioSum = 0;
    Instant m_updatedAt = Instant::min();
};

} // namespace basilhall::placement
