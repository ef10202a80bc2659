#include "basilhall/http/server.h"

#include "basilhall/base/testing/run_coroutine.h"
#include "basilhall/http/client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace asio = boost::asio;
using namespace basilhall;
using basilhall::testing::runCoroutine;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
const Address kAnyPort{"127.0.0.1", 0};

http::ServerLimits smallLimits()
{
    http::ServerLimits limits;
    limits.maxBodyBytes = 1000;
    limits.maxHeaderBytes = 1000;
    limits.readTimeout = std::chrono::milliseconds(200);
    limits.writeTimeout = std::chrono::milliseconds(300);
    return limits;
}

asio::awaitable<void> echo(std::shared_ptr<http::Exchange> exchange)
{
    http::Response response;
    response.body = exchange->request().method + " " + exchange->request().target + " "
        + exchange->request().body;
    (void)co_await exchange->respond(std::move(response));
}

struct Fixture {
    asio::io_context context;

    asio::awaitable<asio::ip::tcp::socket> connect(Address address)
    {
        asio::ip::tcp::socket socket(context);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
        co_await socket.async_connect(endpoint, asio::use_awaitable);
        co_return socket;
    }

    // Sends `bytes` and returns everything received until the server closes the connection.
    asio::awaitable<std::string> exchangeRaw(Address address, std::string bytes)
    {
        auto socket = co_await connect(address);
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
        std::string received;
        (void)co_await asio::async_read(socket, asio::dynamic_buffer(received), kTuple);
        co_return received;
    }
};

struct BadRequest {
    std::string_view text;
    std::string_view status;
    std::string_view kind;
};

std::ostream &operator<<(std::ostream &out, const BadRequest &bad)
{
    return out << bad.status << " for " << bad.text.substr(0, 60);
}

const std::vector<std::string> kFaultyTargets{"/throw", "/silent"};

const std::string kLongHeader = "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(4000, 'x');

const BadRequest kBadRequests[] = {
    {"nonsense\r\n\r\n", "400", "invalid_request"},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400",
     "invalid_request"},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", "400",
     "invalid_request"},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
     "400", "invalid_request"},
    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n"
     "0\r\n\r\n",
     "400", "invalid_request"},
    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400",
     "invalid_request"},
    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "400",
     "invalid_request"},
    {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", "invalid_request"},
    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", "400",
     "invalid_request"},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\n", "400", "invalid_request"},
    {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400", "invalid_request"},
    {"GET / HTTP/1.1\r\n\r\n", "400", "invalid_request"},
    {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", "400", "invalid_request"},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", "413", "payload_too_large"},
    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n7d1\r\n", "413",
     "payload_too_large"},
    {kLongHeader, "431", "payload_too_large"},
    {"GET / HT", "408", "deadline_exceeded"},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", "408", "deadline_exceeded"},
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_server, Fixture)

BOOST_DATA_TEST_CASE(badRequestsGetAnErrorResponseWithStatusAndKind,
                     boost::unit_test::data::make(kBadRequests), bad)
{
    http::Server server(context.get_executor(), kAnyPort, smallLimits(), echo);
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const auto received = co_await exchangeRaw(server.address(), std::string(bad.text));
        BOOST_TEST(received.starts_with("HTTP/1.1 " + std::string(bad.status)), received);
        BOOST_TEST(received.find("\"kind\":\"" + std::string(bad.kind)) != std::string::npos,
                   received);
    });
}

BOOST_AUTO_TEST_CASE(pipelinedRequestsGetResponsesInOrder)
{
    http::Server server(context.get_executor(), kAnyPort, smallLimits(), echo);
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const auto received =
            co_await exchangeRaw(server.address(),
                                 "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
                                 "GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        const auto first = received.find("POST /a abc");
        const auto second = received.find("GET /b ");
        BOOST_TEST(first != std::string::npos);
        BOOST_TEST(second != std::string::npos);
        BOOST_TEST(first < second);
    });
}

BOOST_AUTO_TEST_CASE(clientDisconnectIsDetectedWhileTheResponseIsPending)
{
    asio::steady_timer clientDisconnect(context, std::chrono::steady_clock::time_point::max());
    http::Server server(context.get_executor(), kAnyPort, {},
                        [&](std::shared_ptr<http::Exchange> exchange) -> asio::awaitable<void> {
                            exchange->onClientGone([&] { clientDisconnect.cancel(); });
                            (void)co_await clientDisconnect.async_wait(kTuple);
                        });
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        {
            auto socket = co_await connect(server.address());
            const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
            co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
        }
        (void)co_await clientDisconnect.async_wait(kTuple);
    });
    while (server.activeExchanges() > 0) {
        context.run_one();
    }
}

BOOST_AUTO_TEST_CASE(slowReaderIsDisconnectedAfterTheWriteTimeout)
{
    std::size_t written = 0;
    bool disconnected = false;
    http::Server server(context.get_executor(), kAnyPort, smallLimits(),
                        [&](std::shared_ptr<http::Exchange> exchange) -> asio::awaitable<void> {
                            (void)co_await exchange->beginStream(200, {});
                            while (co_await exchange->write(std::string(100'000, 'x'))) {
                                written += 100'000;
                            }
                            disconnected = true;
                        });
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        auto socket = co_await connect(server.address());
        const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
        asio::steady_timer poll(context);
        while (!disconnected) {
            poll.expires_after(std::chrono::milliseconds(10));
            co_await poll.async_wait(asio::use_awaitable);
        }
    });
    // The server writes no more than the buffers of the two sockets hold.
    BOOST_TEST(written < 32'000'000);
}

BOOST_AUTO_TEST_CASE(stopAcceptingFinishesTheResponseInProgressAndClosesIdleConnections)
{
    asio::steady_timer release(context, std::chrono::steady_clock::time_point::max());
    http::Server server(context.get_executor(), kAnyPort, {},
                        [&](std::shared_ptr<http::Exchange> exchange) -> asio::awaitable<void> {
                            (void)co_await release.async_wait(kTuple);
                            co_await echo(exchange);
                        });
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Address address = server.address();
        auto idle = co_await connect(address);
        auto busy = co_await connect(address);
        const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
        co_await asio::async_write(busy, asio::buffer(request), asio::use_awaitable);
        asio::steady_timer poll(context);
        while (server.activeExchanges() == 0) {
            poll.expires_after(std::chrono::milliseconds(1));
            co_await poll.async_wait(asio::use_awaitable);
        }
        server.stopAccepting();
        release.cancel();
        std::string received;
        (void)co_await asio::async_read(busy, asio::dynamic_buffer(received), kTuple);
        BOOST_TEST(received.find("GET /x ") != std::string::npos);
        BOOST_TEST(received.find("Connection: close") != std::string::npos);
        std::string nothing;
        (void)co_await asio::async_read(idle, asio::dynamic_buffer(nothing), kTuple);
        BOOST_TEST(nothing.empty());
    });
}

BOOST_AUTO_TEST_CASE(handlerThatThrowsOrDoesNotRespondYieldsStatus500)
{
    http::Server server(context.get_executor(), kAnyPort, {},
                        [&](std::shared_ptr<http::Exchange> exchange) -> asio::awaitable<void> {
                            if (exchange->request().target == "/throw") {
                                throw std::runtime_error("x");
                            }
                            co_return;
                        });
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        http::Client client(context.get_executor());
        for (const std::string &target : kFaultyTargets) {
            http::Request request;
            request.method = "GET";
            request.target = target;
            const auto response =
                co_await client.send(server.address(), request, std::chrono::seconds(5));
            BOOST_TEST_REQUIRE(response.has_value());
            BOOST_TEST(response.value().status == 500);
        }
    });
}

// Its coroutine begins once the executor runs, and must not use a server that is gone.
BOOST_AUTO_TEST_CASE(serverMayBeDestroyedBeforeItsExecutorRuns)
{
    auto token = std::make_shared<int>(0);
    const std::weak_ptr<int> state = token;
    auto destroyed = std::make_unique<http::Server>(
        context.get_executor(), kAnyPort, http::ServerLimits(),
        [token](std::shared_ptr<http::Exchange>) -> asio::awaitable<void> { co_return; });
    token.reset();
    destroyed.reset();
    BOOST_TEST(!state.expired());
    context.poll();
    BOOST_TEST(state.expired());
}

BOOST_AUTO_TEST_SUITE_END()
