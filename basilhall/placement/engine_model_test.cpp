#include "basilhall/placement/engine_model.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::placement;
using namespace std::chrono_literals;

namespace
{

constexpr double kLowIntervalMsPerRequest = 3 * 0.04;

// An engine that prefills 50 tokens per ms and generates 3 tokens per event in steps of 5.2 ms.
AnswerTiming slowPrefillTiming(const SendConditions &conditions,
                               double intervalMsPerRequest = kLowIntervalMsPerRequest)
{
    const double intervalMs = 3 * 5.2 + intervalMsPerRequest * conditions.runningRequests;
    const auto ms = [](double value) { return Duration(static_cast<Duration::rep>(value * 1e6)); };
    return {ms(20.0 + static_cast<double>(conditions.uncachedTokens) / 50), ms(10 * intervalMs),
            11};
}

EngineModel trained(double intervalMsPerRequest = kLowIntervalMsPerRequest)
{
    EngineModel model;
    for (std::uint32_t i = 0; i < 300; ++i) {
        const SendConditions conditions{(i * 37) % 4000, i % 5};
        model.onAnswer(conditions, slowPrefillTiming(conditions, intervalMsPerRequest));
    }
    return model;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_model)

BOOST_AUTO_TEST_CASE(initialValuesHoldBeforeThereAreAnswers)
{
    const EngineModel model;
    BOOST_TEST(model.prefillMs(14'700) == 100.0, boost::test_tools::tolerance(0.01));
    BOOST_TEST(model.timeRatio({}, {5s, 5s, 3}) == 1.0);
}

BOOST_AUTO_TEST_CASE(prefillTimeIsLearnedFromAnswers)
{
    const EngineModel model = trained();
    BOOST_TEST(model.prefillMs(5000) == 100.0, boost::test_tools::tolerance(0.1));
    // The engine takes 4 * 11 * 0.12 = 5.3 ms; at least half of the assumed 39.6 ms counts.
    BOOST_TEST(model.slowdownMs(4) == 19.8, boost::test_tools::tolerance(0.0001));
    BOOST_TEST(EngineModel().slowdownMs(4) == 39.6, boost::test_tools::tolerance(0.0001));
    BOOST_TEST(model.turnMs() == 220.0, boost::test_tools::tolerance(0.15));
}

// The assumption of 0.9 ms weighs 40, the answers 311: their values 0.6 and 1.8 ms are learned with
// errors of at most 6.1 %.
BOOST_AUTO_TEST_CASE(slowdownAboveTheMinimumIsLearnedFromAnswers)
{
    BOOST_TEST(trained(0.6).slowdownMs(4) == 4 * 11 * 0.6, boost::test_tools::tolerance(0.065));
    BOOST_TEST(trained(1.8).slowdownMs(4) == 4 * 11 * 1.8, boost::test_tools::tolerance(0.065));
}

BOOST_AUTO_TEST_CASE(ratioComparesAnAnswerWithOthersUnderTheSameConditions)
{
    const EngineModel model = trained();
    const SendConditions conditions{3000, 2};
    AnswerTiming timing = slowPrefillTiming(conditions);
    BOOST_TEST(model.timeRatio(conditions, timing) == 1.0, boost::test_tools::tolerance(0.1));
    timing.untilFirstEvent *= 4;
    timing.streaming *= 4;
    BOOST_TEST(model.timeRatio(conditions, timing) == 4.0, boost::test_tools::tolerance(0.1));
}

// Load pattern: more programs than the engines finish in time. The time between events grows
// because prompts are prefilled in between.
BOOST_AUTO_TEST_CASE(stretchShowsOverload)
{
    EngineModel model = trained();
    BOOST_TEST(model.stretch() < 1.2);
    for (int i = 0; i < 60; ++i) {
        AnswerTiming timing = slowPrefillTiming({1000, 5});
        timing.streaming *= 4;
        model.onAnswer({1000, 5}, timing);
    }
    BOOST_TEST(model.stretch() > 3.0);
    for (int i = 0; i < 100; ++i) {
        model.onAnswer({1000, 1}, slowPrefillTiming({1000, 1}));
    }
    BOOST_TEST(model.stretch() < 1.3);
}

BOOST_AUTO_TEST_SUITE_END()
