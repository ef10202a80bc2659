#include "basilhall/gateway/internal/answer_watch.h"

#include "basilhall/gateway/testing/busy_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace std::chrono_literals;

namespace
{

struct WatchFixture {
    boost::asio::io_context context;
    testing::BusyLoop load{context};
    int silences = 0;
    AnswerWatch watch{context.get_executor(), 50ms, [this] { ++silences; }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(answer_watch, WatchFixture)

BOOST_AUTO_TEST_CASE(callWithoutAnAnswerIsReportedOnce)
{
    watch.onSent();
    context.run_for(5s);
    BOOST_TEST(silences == 1);
    BOOST_TEST(watch.isSilent());
    watch.onAnswered();
    BOOST_TEST(!watch.isSilent());
    watch.onSent();
    context.restart();
    context.run_for(5s);
    BOOST_TEST(silences == 2);
}

BOOST_AUTO_TEST_CASE(answeredCallIsNotReported)
{
    watch.onSent();
    context.run_for(20ms);
    watch.onAnswered();
    context.restart();
    context.run_for(200ms);
    BOOST_TEST(silences == 0);
}

// The answer arrived while the thread did something else.
BOOST_AUTO_TEST_CASE(timeInWhichTheEventLoopIsLateDoesNotCount)
{
    watch.onSent();
    std::this_thread::sleep_for(200ms);
    context.poll();
    BOOST_TEST(silences == 0);
    watch.onAnswered();
    context.restart();
    context.run_for(200ms);
    BOOST_TEST(silences == 0);
}

// A peer that hangs must not hold the records of a busy host forever.
BOOST_AUTO_TEST_CASE(callWithoutAnAnswerIsReportedThoughTheEventLoopIsOftenLate)
{
    load.start(25ms, 15ms);
    watch.onSent();
    context.run_for(500ms);
    BOOST_TEST(silences == 1);
}

BOOST_AUTO_TEST_CASE(callWithoutAnAnswerIsReportedThoughTheEventLoopIsAlwaysLate)
{
    load.start(40ms, 0ms);
    watch.onSent();
    context.run_for(3s);
    BOOST_TEST(silences == 1);
}

BOOST_AUTO_TEST_CASE(destroyedWatchReportsNothing)
{
    std::optional<AnswerWatch> destroyed;
    destroyed.emplace(context.get_executor(), 50ms, [this] { ++silences; });
    destroyed->onSent();
    destroyed.reset();
    context.run_for(200ms);
    BOOST_TEST(silences == 0);
}

BOOST_AUTO_TEST_SUITE_END()
