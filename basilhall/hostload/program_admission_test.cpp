#include "basilhall/hostload/program_admission.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace basilhall;
using namespace basilhall::hostload;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(hostload_program_admission)

BOOST_AUTO_TEST_CASE(nothingIsRefusedOnTime)
{
    for (const Duration delay : {0ms, 10ms, 40ms}) {
        BOOST_TEST(refusedShare(delay, 0) == 0.0);
        BOOST_TEST(refusedShare(delay, 9) == 0.0);
        BOOST_TEST(!refusesProgram(delay, 9, 0));
    }
    BOOST_CHECK(minServiceTime(10ms) == 0ms);
}

BOOST_AUTO_TEST_CASE(theShareGrowsWithTheDelayLessUrgentFirst)
{
    double before = 0;
    for (Duration delay = 50ms; delay <= 180ms; delay += 10ms) {
        const double share = refusedShare(delay, 1);
        BOOST_TEST(share > before);
        BOOST_TEST(share > refusedShare(delay, 0));
        before = share;
    }
    BOOST_TEST(refusedShare(60ms, 0) == 0.0);
    BOOST_TEST(refusedShare(200ms, 0) > 0.0);
}

BOOST_AUTO_TEST_CASE(someProgramsAlwaysBegin)
{
    BOOST_TEST(refusedShare(1h, 0) < 1.0);
    BOOST_TEST(refusedShare(1h, 9) < 1.0);
    BOOST_TEST(!refusesProgram(1h, 9, 1023));
}

BOOST_AUTO_TEST_CASE(refusedProgramsReturnSpreadAndLaterTheLaterTheHost)
{
    std::set<Duration> times;
    for (std::uint64_t i = 0; i < 64; ++i) {
        times.insert(retryAfter(100ms, i << 32U));
    }
    BOOST_TEST(times.size() == 64);
    BOOST_CHECK(*times.rbegin() - *times.begin() >= 900ms);
    BOOST_CHECK(retryAfter(300ms, 0) > retryAfter(100ms, 0));
    BOOST_CHECK(retryAfter(1h, 0) <= 3s);
}

BOOST_AUTO_TEST_CASE(eachStepOfARequestWaitsForTheLoop)
{
    BOOST_CHECK(minServiceTime(100ms) >= 200ms);
    BOOST_CHECK(minServiceTime(200ms) > minServiceTime(100ms));
}

BOOST_AUTO_TEST_SUITE_END()
