#include "basilhall/base/testing/run_coroutine.h"
#include "basilhall/http/client.h"
#include "basilhall/http/server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

namespace asio = boost::asio;
using namespace basilhall;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kBodyBytes = 256 * 1024;
// Both sides together take several steps for each 16 KB and some for the request.
constexpr std::size_t kMaxSteps = 200;

asio::awaitable<void> serve(std::shared_ptr<http::Exchange> exchange)
{
    http::Response response;
    if (exchange->request().target == "/large") {
        response.body = std::string(kBodyBytes, 'b');
    }
    (void)co_await exchange->respond(std::move(response));
}

struct Fixture {
    // Returns the number of handlers that the event loop ran until the answer was complete.
    std::size_t steps(http::Request request, std::size_t expectedBytes)
    {
        bool isDone = false;
        asio::co_spawn(
            context,
            [&]() -> asio::awaitable<void> {
                const auto response = co_await client.send(server.address(), request, 10s);
                BOOST_TEST_REQUIRE(response.has_value());
                BOOST_TEST(response.value().body.size() == expectedBytes);
            },
            [&isDone](const std::exception_ptr &) { isDone = true; });
        std::size_t count = 0;
        while (!isDone) {
            count += context.run_one();
        }
        return count;
    }

    asio::io_context context;
    http::Server server{context.get_executor(), {"127.0.0.1", 0}, {}, serve};
    http::Client client{context.get_executor()};
};

} // namespace

// On a busy host each step waits for all others: a body that is read in pieces of 512 bytes took
// more than a second.
BOOST_FIXTURE_TEST_SUITE(http_read_steps, Fixture)

BOOST_AUTO_TEST_CASE(largeAnswerIsReadInFewSteps)
{
    BOOST_TEST(steps({"GET", "/large", {}, {}}, kBodyBytes) < kMaxSteps);
}

BOOST_AUTO_TEST_CASE(largeRequestIsReadInFewSteps)
{
    BOOST_TEST(steps({"POST", "/", {}, std::string(kBodyBytes, 'b')}, 0) < kMaxSteps);
}

BOOST_AUTO_TEST_SUITE_END()
