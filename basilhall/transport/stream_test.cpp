#include "basilhall/base/testing/run_coroutine.h"
#include "basilhall/transport/internal/message_codec.h"
#include "basilhall/transport/internal/session.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/transport/stream_server.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace asio = boost::asio;
using namespace basilhall;
using namespace basilhall::transport;
using namespace std::chrono_literals;
using basilhall::testing::runCoroutine;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kConnectTimeout = 5s;
const Address kAnyPort{"127.0.0.1", 0};

struct Fixture {
    asio::io_context context;
    std::size_t repliesSent = 0;
    std::size_t cancelled = 0;
    std::size_t handled = 0;
    Signal changed{context.get_executor()};
    StreamServer server{context.get_executor(), kAnyPort,
                        [this](std::shared_ptr<ServerStream> stream) { return serve(stream); }};
    StreamClient client{context.get_executor()};

    asio::awaitable<void> serve(std::shared_ptr<ServerStream> stream)
    {
        ++handled;
        stream->onCancelled([this] {
            ++cancelled;
            changed.notify();
        });
        if (stream->method() == "/echo") {
            (void)co_await stream->send(stream->request());
            (void)co_await stream->send(stream->request() + "!");
            (void)co_await stream->finish();
        } else if (stream->method() == "/drop") {
            (void)co_await stream->send("one");
        } else if (stream->method() == "/hang") {
            (void)co_await stream->send("one");
            const std::size_t before = cancelled;
            while (cancelled == before) {
                co_await changed.wait();
            }
        } else if (stream->method() == "/flood") {
            while (co_await stream->send(std::string(10'000, 'x'))) {
                ++repliesSent;
                changed.notify();
            }
        }
    }

    asio::awaitable<std::unique_ptr<ClientStream>> open(std::string method, std::string request)
    {
        auto stream = co_await client.open(server.address(), std::move(method), std::move(request),
                                           kConnectTimeout);
        BOOST_TEST_REQUIRE(stream.has_value());
        co_return std::move(stream).value();
    }

    static asio::awaitable<std::string> nextMessage(ClientStream &stream)
    {
        auto reply = co_await stream.next();
        BOOST_TEST_REQUIRE(reply.has_value());
        BOOST_TEST_REQUIRE(reply.value().has_value());
        co_return *reply.value();
    }

    static asio::awaitable<Error> failure(ClientStream &stream)
    {
        auto reply = co_await stream.next();
        while (reply && reply.value()) {
            reply = co_await stream.next();
        }
        BOOST_TEST_REQUIRE(reply.has_error());
        co_return reply.error();
    }

    asio::awaitable<void> until(std::function<bool()> condition)
    {
        asio::steady_timer poll(context);
        while (!condition()) {
            poll.expires_after(1ms);
            co_await poll.async_wait(asio::use_awaitable);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stream, Fixture)

BOOST_AUTO_TEST_CASE(concurrentStreamsReceiveTheCorrectReplies)
{
    constexpr int kStreams = 5000;
    int done = 0;
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        for (int i = 0; i < kStreams; ++i) {
            const auto one = [&, i]() -> asio::awaitable<void> {
                const std::string text = std::to_string(i);
                auto stream = co_await open("/echo", text);
                BOOST_TEST((co_await nextMessage(*stream)) == text);
                BOOST_TEST((co_await nextMessage(*stream)) == text + "!");
                const auto end = co_await stream->next();
                BOOST_TEST((end.has_value() && !end.value().has_value()));
                ++done;
            };
            asio::co_spawn(context, one, asio::detached);
        }
        co_await until([&] { return done == kStreams; });
        co_await until([&] { return server.activeStreams() == 0; });
        BOOST_TEST(server.connections() == 1U);
    });
}

BOOST_AUTO_TEST_CASE(largeMessagesAreTransferredInBothDirections)
{
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const std::string large(kMaxMessageBytes - 1, 'm');
        auto stream = co_await open("/echo", large);
        BOOST_TEST(((co_await nextMessage(*stream)) == large));
        BOOST_TEST((co_await nextMessage(*stream)).size() == large.size() + 1);
    });
}

BOOST_AUTO_TEST_CASE(oversizedRequestIsRefusedAndNotRun)
{
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const auto stream = co_await client.open(
            server.address(), "/echo", std::string(kMaxMessageBytes + 1, 'm'), kConnectTimeout);
        BOOST_TEST_REQUIRE(stream.has_error());
        BOOST_TEST((stream.error().kind() == ErrorKind::PayloadTooLarge));
        BOOST_TEST(stream.error().notRun());
    });
}

BOOST_AUTO_TEST_CASE(serverIsNotifiedOfCancellation)
{
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        auto stream = co_await open("/hang", "");
        (void)co_await nextMessage(*stream);
        stream->cancel();
        const auto reply = co_await stream->next();
        BOOST_TEST((reply.has_error() && reply.error().kind() == ErrorKind::Cancelled));
        co_await until([&] { return cancelled == 1 && server.activeStreams() == 0; });
    });
}

BOOST_AUTO_TEST_CASE(destroyedStreamIsCancelled)
{
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        {
            auto stream = co_await open("/hang", "");
            (void)co_await nextMessage(*stream);
        }
        co_await until([&] { return cancelled == 1 && server.activeStreams() == 0; });
    });
}

BOOST_AUTO_TEST_CASE(handlerReturningWithoutFinishIsConnectionLost)
{
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        auto stream = co_await open("/drop", "");
        const Error error = co_await failure(*stream);
        BOOST_TEST((error.kind() == ErrorKind::ConnectionLost));
        BOOST_TEST(!error.notRun());
    });
}

BOOST_AUTO_TEST_CASE(connectionClosedDuringStreamIsDetectedByBothSides)
{
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        auto first = co_await open("/hang", "");
        auto second = co_await open("/hang", "");
        (void)co_await nextMessage(*first);
        (void)co_await nextMessage(*second);
        server.close();
        BOOST_TEST(((co_await failure(*first)).kind() == ErrorKind::ConnectionLost));
        BOOST_TEST(((co_await failure(*second)).kind() == ErrorKind::ConnectionLost));
        co_await until([&] { return cancelled == 2; });
        const auto after = co_await client.open(server.address(), "/echo", "", kConnectTimeout);
        BOOST_TEST((after.has_error() && after.error().notRun()));
    });
}

BOOST_AUTO_TEST_CASE(slowReaderSuspendsOnlyItsSender)
{
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        auto slow = co_await open("/flood", "");
        (void)co_await nextMessage(*slow);
        std::size_t before = 0;
        while (before != repliesSent) {
            before = repliesSent;
            for (int i = 0; i < 20; ++i) {
                auto other = co_await open("/echo", std::string(100'000, 'o'));
                BOOST_TEST((co_await nextMessage(*other)).size() == 100'000U);
            }
        }
        // Upper bound: the window of the receiver plus the buffer of the sender.
        BOOST_TEST(repliesSent * 10'000 < 2 * std::size_t{kStreamWindowBytes});
        for (int i = 0; i < 200; ++i) {
            (void)co_await nextMessage(*slow);
        }
        BOOST_TEST(repliesSent > before);
    });
}

BOOST_AUTO_TEST_CASE(invalidInputClosesOnlyItsConnection)
{
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Address address = server.address();
        for (const std::string &invalidInput :
             {std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n"),
              "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(5000, '\xff')}) {
            asio::ip::tcp::socket socket(context);
            const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.ip),
                                                   address.port);
            co_await socket.async_connect(endpoint, asio::use_awaitable);
            (void)co_await asio::async_write(socket, asio::buffer(invalidInput), kTuple);
            std::string answer;
            (void)co_await asio::async_read(socket, asio::dynamic_buffer(answer), kTuple);
        }
        auto stream = co_await open("/echo", "still");
        BOOST_TEST((co_await nextMessage(*stream)) == "still");
        BOOST_TEST(handled == 1U);
    });
}

BOOST_AUTO_TEST_CASE(unresponsivePeerIsDetected)
{
    // The kernel accepts the connection, but nothing reads from it, as with a stopped process.
    asio::ip::tcp::acceptor unresponsive(context, {asio::ip::make_address("127.0.0.1"), 0});
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Address address{"127.0.0.1", unresponsive.local_endpoint().port()};
        StreamClient shortTimeoutClient(context.get_executor(), {20ms, 200ms});
        auto stream = co_await shortTimeoutClient.open(address, "/echo", "x", kConnectTimeout);
        BOOST_TEST_REQUIRE(stream.has_value());
        const Error error = co_await failure(*stream.value());
        BOOST_TEST((error.kind() == ErrorKind::ConnectionLost));
        BOOST_TEST(!error.notRun());
    });
}

BOOST_AUTO_TEST_CASE(clientThatOnlyReceivesStaysConnected)
{
    constexpr int kMessages = 40;
    StreamServer sendingServer(
        context.get_executor(), kAnyPort,
        [this](std::shared_ptr<ServerStream> stream) -> asio::awaitable<void> {
            for (int i = 0; i < kMessages; ++i) {
                (void)co_await stream->send("report");
                asio::steady_timer pause(context, 10ms);
                co_await pause.async_wait(asio::use_awaitable);
            }
            (void)co_await stream->finish();
        },
        {20ms, 100ms});
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        StreamClient receivingClient(context.get_executor(), {20ms, 100ms});
        auto stream =
            co_await receivingClient.open(sendingServer.address(), "/load", "", kConnectTimeout);
        int received = 0;
        while (auto next = co_await stream.value()->next()) {
            if (!next.value()) {
                break;
            }
            ++received;
        }
        BOOST_TEST(received == kMessages);
    });
}

BOOST_AUTO_TEST_CASE(shutdownNoticeLetsStreamsFinishAndRefusesNewOnes)
{
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        auto running = co_await open("/hang", "");
        (void)co_await nextMessage(*running);
        server.stopAccepting();
        bool refused = false;
        while (!refused) {
            auto next = co_await client.open(server.address(), "/echo", "x", kConnectTimeout);
            refused = next.has_error() && next.error().notRun();
            if (next) {
                BOOST_TEST((co_await nextMessage(*next.value())) == "x");
            }
        }
        BOOST_TEST(cancelled == 0U);
        running->cancel();
        co_await until([&] { return server.connections() == 0; });
    });
}

// Its coroutine begins once the executor runs, and must not use a server that is gone.
BOOST_AUTO_TEST_CASE(serverMayBeDestroyedBeforeItsExecutorRuns)
{
    auto token = std::make_shared<int>(0);
    const std::weak_ptr<int> state = token;
    auto destroyed = std::make_unique<StreamServer>(
        context.get_executor(), kAnyPort,
        [token](std::shared_ptr<ServerStream>) -> asio::awaitable<void> { co_return; });
    token.reset();
    destroyed.reset();
    BOOST_TEST(!state.expired());
    context.poll();
    BOOST_TEST(state.expired());
}

BOOST_AUTO_TEST_SUITE_END()
