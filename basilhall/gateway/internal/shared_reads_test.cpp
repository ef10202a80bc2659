#include "basilhall/gateway/internal/shared_reads.h"

#include "basilhall/base/monotonic_clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace std::chrono_literals;

namespace asio = boost::asio;

namespace
{

constexpr Duration kInterval = 60ms;

struct Fixture {
    asio::awaitable<Result<void>> readStore()
    {
        begins.push_back(MonotonicClock().now());
        asio::steady_timer timer(context, 5ms);
        (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return begins.size() == failingRead ? Error(ErrorKind::StoreUnavailable, "down")
                                               : Result<void>(success());
    }

    asio::awaitable<void> call()
    {
        const Instant calledAt = MonotonicClock().now();
        const Result<void> done = co_await reads.read();
        (done ? succeeded : failed) += 1;
        isEarly = isEarly || begins.back() < calledAt;
    }

    void request(int calls)
    {
        for (int i = 0; i < calls; ++i) {
            asio::co_spawn(context, call(), asio::detached);
        }
    }

    asio::io_context context;
    std::vector<Instant> begins;
    std::size_t failingRead = 0;
    int succeeded = 0;
    int failed = 0;
    // A caller got the result of a read that had begun before its call.
    bool isEarly = false;
    SharedReads reads{context.get_executor(), kInterval, [this] { return readStore(); }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(shared_reads, Fixture)

BOOST_AUTO_TEST_CASE(callersShareTheNextRead)
{
    request(3);
    context.run_for(2ms);
    BOOST_TEST(begins.size() == 1U);
    // During the first read.
    request(4);
    context.run();
    BOOST_TEST(succeeded == 7);
    BOOST_TEST(!isEarly);
    BOOST_TEST_REQUIRE(begins.size() == 2U);
    BOOST_TEST((begins[1] - begins[0] >= kInterval));
}

BOOST_AUTO_TEST_CASE(failureIsReportedToTheCallersOfThatReadOnly)
{
    failingRead = 2;
    request(1);
    // Both wait for the read that follows.
    request(2);
    context.run();
    BOOST_TEST(succeeded == 1);
    BOOST_TEST(failed == 2);
    context.restart();
    request(1);
    context.run();
    BOOST_TEST(succeeded == 2);
}

BOOST_AUTO_TEST_SUITE_END()
