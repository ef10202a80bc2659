#include "basilhall/hostload/host_load.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::hostload;
using namespace std::chrono_literals;

namespace
{

// Fires the timer of a host, each time late by the same time.
struct TimerReplay {
    // Returns the number of changes of the state.
    int run(Duration lateBy, Duration time)
    {
        int changes = 0;
        for (const Instant end = now + time; now < end;) {
            now += 40ms + lateBy;
            changes += load.onTimer(lateBy, now) ? 1 : 0;
        }
        return changes;
    }

    HostLoad load;
    Instant now;
};

} // namespace

BOOST_AUTO_TEST_SUITE(host_load)

BOOST_FIXTURE_TEST_CASE(aHostOnTimeIsNormal, TimerReplay)
{
    BOOST_TEST(run(0ms, 60s) == 0);
    BOOST_TEST(run(5ms, 60s) == 0);
    BOOST_CHECK(load.state() == LoadState::Normal);
    BOOST_CHECK(load.loopDelay() <= 5ms);
}

BOOST_FIXTURE_TEST_CASE(aLateLoopShowsWithinASecond, TimerReplay)
{
    run(0ms, 10s);
    run(100ms, 1s);
    BOOST_CHECK(load.state() == LoadState::Late);
    run(400ms, 1s);
    BOOST_CHECK(load.state() == LoadState::Overloaded);
    BOOST_CHECK(load.loopDelay() > 200ms);
}

BOOST_FIXTURE_TEST_CASE(theStateEndsOnceTheLoopIsOnTime, TimerReplay)
{
    run(800ms, 20s);
    BOOST_CHECK(load.state() == LoadState::Overloaded);
    run(0ms, 3s);
    BOOST_CHECK(load.state() == LoadState::Normal);
}

BOOST_FIXTURE_TEST_CASE(delaysNearALimitDoNotChangeTheStateOften, TimerReplay)
{
    run(60ms, 5s);
    int changes = 0;
    for (int i = 0; i < 100; ++i) {
        changes += run(30ms, 100ms);
        changes += run(50ms, 100ms);
    }
    BOOST_TEST(changes == 0);
}

BOOST_FIXTURE_TEST_CASE(oneLateEventIsNoLoad, TimerReplay)
{
    run(0ms, 1s);
    BOOST_TEST(run(60ms, 1ms) == 0);
}

BOOST_FIXTURE_TEST_CASE(aSuspendedHostIsForgotten, TimerReplay)
{
    run(0ms, 1s);
    run(60s, 1ms);
    BOOST_CHECK(load.loopDelay() <= 1s);
    run(0ms, 3s);
    BOOST_CHECK(load.state() == LoadState::Normal);
}

BOOST_FIXTURE_TEST_CASE(aTimerThatFiresEarlyIsOnTime, TimerReplay)
{
    load.onTimer(-5ms, now);
    BOOST_CHECK(load.loopDelay() == 0ms);
}

BOOST_AUTO_TEST_SUITE_END()
