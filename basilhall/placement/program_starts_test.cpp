#include "basilhall/placement/program_starts.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace basilhall;
using namespace basilhall::placement;
using namespace std::chrono_literals;

namespace
{

const Instant kStart{};

// 10 programs a second, each with 5 turns and 10 calls of tools, for 10 s.
void learn(ProgramStarts &starts)
{
    for (int i = 0; i < 100; ++i) {
        const Instant now = kStart + i * 100ms;
        starts.onStart(now);
        for (int turn = 0; turn < 5; ++turn) {
            starts.onRequest("engines", now);
        }
        for (int call = 0; call < 10; ++call) {
            starts.onRequest("tools", now);
        }
    }
}

int startsIn(ProgramStarts &starts, Instant from, Duration time)
{
    int count = 0;
    for (Instant now = from; now < from + time; now += 10ms) {
        if (starts.admits(now)) {
            starts.onStart(now);
            ++count;
        }
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(program_starts)

BOOST_AUTO_TEST_CASE(programsBeginAtTheRateThatTheTightestLimitCarries)
{
    ProgramStarts starts;
    learn(starts);
    const Instant now = kStart + 10s;
    BOOST_TEST(std::isinf(starts.perSecond()));
    starts.setRates({{"tools", 50.0}, {"engines", 40.0}}, now);
    BOOST_TEST(std::abs(starts.perSecond() - 4.5) < 0.1);
    const int count = startsIn(starts, now, 10s);
    BOOST_TEST(count >= 44);
    BOOST_TEST(count <= 48);
}

BOOST_AUTO_TEST_CASE(anyProgramBeginsOnceNoServiceIsLimited)
{
    ProgramStarts starts;
    learn(starts);
    const Instant now = kStart + 10s;
    starts.setRates({{"tools", 1.0}}, now);
    BOOST_TEST(startsIn(starts, now, 1s) <= 2);
    starts.setRates({}, now + 1s);
    BOOST_TEST(startsIn(starts, now + 1s, 1s) == 100);
}

BOOST_AUTO_TEST_CASE(needsAreNotLearnedWhileLimitsHoldThemDown)
{
    ProgramStarts starts;
    learn(starts);
    starts.setRates({{"tools", 50.0}}, kStart + 10s);
    const double before = starts.perSecond();
    for (int i = 0; i < 1000; ++i) {
        starts.onRequest("tools", kStart + 11s);
    }
    BOOST_TEST(starts.perSecond() == before);
}

BOOST_AUTO_TEST_CASE(serviceThatProgramsDoNotUseLimitsNone)
{
    ProgramStarts starts;
    learn(starts);
    starts.setRates({{"other", 0.5}}, kStart + 10s);
    BOOST_TEST(std::isinf(starts.perSecond()));
    BOOST_TEST(starts.admits(kStart + 10s));
}

BOOST_AUTO_TEST_SUITE_END()
