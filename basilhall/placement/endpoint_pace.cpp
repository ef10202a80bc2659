#include "basilhall/placement/endpoint_pace.h"

#include <algorithm>
#include <cmath>

namespace basilhall::placement
{

namespace
{

// Time after which an answer counts half: an endpoint that was slow is tried again within a few
// seconds.
constexpr double kHalfLifeSeconds = 2;
// Number of answers at the expected pace that are assumed, so that a single failure changes
// nothing.
constexpr double kAssumedAnswers = 10;
// Answers vary; below this factor an endpoint is not treated as slow.
constexpr double kMinFactor = 1.5;
constexpr double kMaxFactor = 8;

} // namespace

double EndpointPace::decay(Instant now) const
{
    if (m_updatedAt == Instant::min() || now <= m_updatedAt) {
        return 1;
    }
    const double seconds = std::chrono::duration<double>(now - m_updatedAt).count();
    return std::exp2(-seconds / kHalfLifeSeconds);
}

void EndpointPace::add(const PaceSample &sample, Instant now)
{
    const double kept = decay(now);
    m_answers = m_answers * kept + sample.answers;
    m_ratioSum = m_ratioSum * kept + sample.ratioSum;
    m_updatedAt = std::max(m_updatedAt, now);
}

double EndpointPace::factor(Instant now) const
{
    if (m_updatedAt == Instant::min()) {
        return 1;
    }
    const double kept = decay(now);
    const double factor =
        (m_ratioSum * kept + kAssumedAnswers) / (m_answers * kept + kAssumedAnswers);
    return factor < kMinFactor ? 1 : std::min(factor, kMaxFactor);
}

} // namespace basilhall::placement
