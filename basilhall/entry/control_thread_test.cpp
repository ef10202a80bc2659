#include "basilhall/entry/control_thread.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>

using namespace basilhall::entry;
namespace asio = boost::asio;

BOOST_AUTO_TEST_SUITE(control_thread)

// Guards against a double destruction of the captures of the function, which freed the owner of the
// programs. GCC 12.2 does this to lambdas created within co_await expressions.
BOOST_AUTO_TEST_CASE(capturesOfTheFunctionAreDestroyedOnce)
{
    asio::io_context traffic(1);
    asio::io_context control(1);
    const auto held = std::make_shared<std::string>("held");
    const auto caller = [&]() -> asio::awaitable<void> {
        const auto function = [copy = held] { return *copy; };
        const std::string answer = co_await runOnControlThread(control.get_executor(), function);
        BOOST_TEST(answer == "held");
    };
    constexpr int kCallers = 3;
    for (int i = 0; i < kCallers; ++i) {
        asio::co_spawn(traffic, caller, asio::detached);
    }
    auto work = asio::make_work_guard(control);
    std::thread thread([&control] { control.run(); });
    traffic.run();
    work.reset();
    thread.join();
    BOOST_TEST(held.use_count() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
