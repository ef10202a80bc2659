#include "basilhall/placement/endpoint_pace.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::placement;
using namespace std::chrono_literals;

namespace
{
const Instant kNow{};
} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_pace)

BOOST_AUTO_TEST_CASE(oneSlowAnswerAmongManyChangesNothing)
{
    EndpointPace pace;
    pace.add({10, 10.0}, kNow);
    pace.add({1, kFailureRatio}, kNow);
    BOOST_TEST(pace.factor(kNow) == 1.0);
}

BOOST_AUTO_TEST_CASE(oneFailureChangesNothing)
{
    EndpointPace pace;
    pace.add({1, kFailureRatio}, kNow);
    BOOST_TEST(pace.factor(kNow) == 1.0);
    pace.add({1, kFailureRatio}, kNow);
    BOOST_TEST(pace.factor(kNow) > 1.0);
}

BOOST_AUTO_TEST_CASE(factorFollowsTheAnswersAndDecays)
{
    EndpointPace pace;
    pace.add({20, 100.0}, kNow);
    BOOST_TEST(pace.factor(kNow) > 3.0);
    BOOST_TEST(pace.factor(kNow + 2s) < pace.factor(kNow));
    BOOST_TEST(pace.factor(kNow + 20s) == 1.0);
}

BOOST_AUTO_TEST_CASE(factorIsBounded)
{
    EndpointPace pace;
    pace.add({100, 10'000.0}, kNow);
    BOOST_TEST(pace.factor(kNow) == 8.0);
}

BOOST_AUTO_TEST_SUITE_END()
