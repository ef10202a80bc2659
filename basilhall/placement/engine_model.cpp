#include "basilhall/placement/engine_model.h"

#include <algorithm>
#include <chrono>

namespace basilhall::placement
{

namespace
{

// Assumed until answers show otherwise: 147 prompt tokens per ms, and 0.038 ms per step and
// request at 23 tokens per event.
constexpr double kInitialPrefillMsPerToken = 1.0 / 147.0;
constexpr double kInitialIntervalMsPerRequest = 0.9;
constexpr double kInitialEvents = 11;
constexpr double kInitialTurnMs = 500;
// The assumptions count as much as 10 answers whose prompts differ by 1,000 tokens, or whose
// engines differ by 2 requests.
constexpr double kPrefillPriorWeight = 10.0 * 1000 * 1000;
constexpr double kIntervalPriorWeight = 10.0 * 2 * 2;
// Limits for slopes that samples with little spread could distort.
constexpr double kMaxSlopeChange = 4;
// Other requests in a batch always cost something: without this share of the assumption, all
// requests would go to the engines with the longest cached prefix.
constexpr double kMinSlowdownShare = 0.5;
// An answer that took longer waited for something else than prefill, for instance a lost packet.
constexpr double kMaxFirstEventMs = 1500;
// Answers needed before other answers are compared with the model.
constexpr std::uint32_t kMinAnswers = 20;
constexpr double kEventsWeight = 0.02;
// About the last 20 answers: a second or two at one gateway.
constexpr double kRecentWeight = 0.05;
// Relative steps of the percentile; their ratio determines which percentile it is. The step up is
// small, so that minutes of high load do not count as normal.
constexpr double kPercentileStepUp = 0.0005;
constexpr double kPercentileStepDown = 0.0045;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double clampedSlope(double slope, double initial)
{
    return std::clamp(slope, initial / kMaxSlopeChange, initial * kMaxSlopeChange);
}

} // namespace

EngineModel::EngineModel()
    : m_firstEvent({kInitialPrefillMsPerToken, kPrefillPriorWeight})
    , m_eventInterval({kInitialIntervalMsPerRequest, kIntervalPriorWeight})
    , m_meanEvents(kInitialEvents)
{
}

void EngineModel::onAnswer(const SendConditions &conditions, const AnswerTiming &timing)
{
    m_firstEvent.add(static_cast<double>(conditions.uncachedTokens),
                     std::min(milliseconds(timing.untilFirstEvent), kMaxFirstEventMs));
    m_meanEvents += kEventsWeight * (static_cast<double>(timing.events) - m_meanEvents);
    if (timing.events > 1) {
        const double interval =
            milliseconds(timing.streaming) / static_cast<double>(timing.events - 1);
        m_eventInterval.add(conditions.runningRequests, interval);
        addInterval(interval);
    }
}

void EngineModel::addInterval(double ms)
{
    ++m_intervals;
    if (m_intervals == 1) {
        m_recentInterval = ms;
        m_fastInterval = ms;
        return;
    }
    m_recentInterval += kRecentWeight * (ms - m_recentInterval);
    if (ms >= m_fastInterval) {
        m_fastInterval *= 1 + kPercentileStepUp;
    } else if (m_intervals <= kMinAnswers) {
        m_fastInterval = ms;
    } else {
        m_fastInterval *= 1 - kPercentileStepDown;
    }
}

double EngineModel::stretch() const
{
    if (m_intervals < kMinAnswers || m_fastInterval <= 0) {
        return 1;
    }
    return std::max(m_recentInterval / m_fastInterval, 1.0);
}

double EngineModel::prefillMs(std::uint64_t tokens) const
{
    return static_cast<double>(tokens)
        * clampedSlope(m_firstEvent.slope(), kInitialPrefillMsPerToken);
}

double EngineModel::slowdownMs(std::uint32_t runningRequests) const
{
    const double assumed = kInitialEvents * kInitialIntervalMsPerRequest;
    const double learned =
        m_meanEvents * clampedSlope(m_eventInterval.slope(), kInitialIntervalMsPerRequest);
    return runningRequests * std::max(learned, assumed * kMinSlowdownShare);
}

double EngineModel::turnMs() const
{
    if (m_firstEvent.weight() < kMinAnswers) {
        return kInitialTurnMs;
    }
    return m_firstEvent.meanY() + m_meanEvents * m_eventInterval.meanY();
}

double EngineModel::timeRatio(const SendConditions &conditions, const AnswerTiming &timing) const
{
    if (m_firstEvent.weight() < kMinAnswers) {
        return 1;
    }
    const double intervals = timing.events > 1 ? static_cast<double>(timing.events - 1) : 0;
    const double expected = m_firstEvent.at(static_cast<double>(conditions.uncachedTokens))
        + intervals * m_eventInterval.at(conditions.runningRequests);
    return milliseconds(timing.untilFirstEvent + timing.streaming) / std::max(expected, 1.0);
}

} // namespace basilhall::placement
