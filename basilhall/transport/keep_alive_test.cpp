#include "basilhall/base/testing/run_coroutine.h"
#include "basilhall/transport/client_stream.h"
#include "basilhall/transport/server_stream.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/transport/stream_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace asio = boost::asio;
using namespace basilhall;
using namespace basilhall::transport;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(keep_alive)

// What the other end has sent waits in the socket.
BOOST_AUTO_TEST_CASE(connectionOfAProcessThatWasLateItselfStaysOpen)
{
    constexpr KeepAlive kKeepAlive{100ms, 300ms};
    asio::io_context context;
    const auto answerLater = [](std::shared_ptr<ServerStream> stream) -> asio::awaitable<void> {
        asio::steady_timer pause(co_await asio::this_coro::executor, 200ms);
        (void)co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        std::this_thread::sleep_for(500ms);
        pause.expires_after(200ms);
        (void)co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        (void)co_await stream->send("answer");
        (void)co_await stream->finish();
    };
    StreamServer server(context.get_executor(), {"127.0.0.1", 0}, answerLater, kKeepAlive);
    StreamClient client(context.get_executor(), kKeepAlive);
    basilhall::testing::runCoroutine(context, [&]() -> asio::awaitable<void> {
        auto stream = co_await client.open(server.address(), "/later", "", 5s);
        BOOST_TEST_REQUIRE(stream.has_value());
        const auto message = co_await stream.value()->next();
        BOOST_TEST_REQUIRE(message.has_value());
        BOOST_TEST((message.value() == "answer"));
    });
    client.close();
    server.close();
}

BOOST_AUTO_TEST_SUITE_END()
