// Estimates how fast the engines of one service work from the answers that they give, because the
// configuration states only their capacity.
//
//     EngineModel model;
//     model.onAnswer(conditions, timing);
//     double ms = model.prefillMs(uncachedTokens) + model.slowdownMs(runningRequests);
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/placement/linear_fit.h"

#include <compare>
#include <cstdint>

namespace basilhall::placement
{

// What was known of an engine when a request was sent to it. Immutable value.
struct SendConditions {
    std::uint64_t uncachedTokens = 0;
    // Other unfinished requests at the engine.
    std::uint32_t runningRequests = 0;

    auto operator<=>(const SendConditions &) const = default;
};

// How an answer arrived. Immutable value.
struct AnswerTiming {
    // From the request to the first event.
    Duration untilFirstEvent{};
    // From the first event to the last.
    Duration streaming{};
    std::uint64_t events = 0;

    auto operator<=>(const AnswerTiming &) const = default;
};

// Not thread-safe.
class EngineModel
{
public:
    EngineModel();

    void onAnswer(const SendConditions &conditions, const AnswerTiming &timing);

    // Time to prefill the tokens, in ms.
    double prefillMs(std::uint64_t tokens) const;
    // Time by which other requests in the batch delay a turn, in ms.
    double slowdownMs(std::uint32_t runningRequests) const;
    // Mean time that a turn occupies a slot, in ms.
    double turnMs() const;
    // Recent time between events divided by that of an engine without other work; grows when
    // prompts of other requests are prefilled in between. 1 before there are enough answers.
    double stretch() const;
    // Time of an answer divided by the expected time; above 1 if the engine was slower than the
    // other engines of the service under the same conditions. 1 before there are enough answers.
    double timeRatio(const SendConditions &conditions, const AnswerTiming &timing) const;

private:
    // Time to the first event, in ms, over uncached tokens.
    LinearFit m_firstEvent;
    // Time between events, in ms, over running requests.
    LinearFit m_eventInterval;
    double m_meanEvents;
    // Mean of the most recent times between events, and their 10th percentile over a long time, in
    // ms.
    double m_recentInterval = 0;
    double m_fastInterval = 0;
    std::uint32_t m_intervals = 0;

    void addInterval(double ms);
};

} // namespace basilhall::placement
