#include "basilhall/agent/agent_test_harness.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/detached.hpp>

namespace asio = boost::asio;
using namespace basilhall;
using namespace basilhall::agent;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

std::string chunk(const std::string &text)
{
    return R"({"choices":[{"index":0,"delta":{"content":")" + text + R"("}}]})";
}

const std::string kUsage = R"({"choices":[],"usage":{"prompt_tokens":11,"completion_tokens":2}})";

// Runs an engine whose behaviour depends on the body of the call.
struct Fixture : AgentHarness {
    Fixture()
        : AgentHarness(manifest::EndpointKind::Engine, 1)
    {
        startEndpoint([this](std::shared_ptr<http::Exchange> exchange) { return serve(exchange); });
        startAgent();
    }

    ~Fixture() { stop(); }

    asio::awaitable<void> serve(std::shared_ptr<http::Exchange> exchange)
    {
        const http::Request &request = exchange->request();
        if (request.method == "DELETE") {
            freed.push_back(request.target);
            co_await respond(*exchange, 200);
        } else if (request.method == "GET") {
            co_await respond(*exchange, 404);
        } else if (request.body == "fenced") {
            co_await respond(*exchange, 409);
        } else if (request.body == "failing") {
            co_await respond(*exchange, 500);
        } else {
            headers = request.headers;
            co_await complete(exchange);
        }
    }

    static asio::awaitable<void> respond(http::Exchange &exchange, int status)
    {
        http::Response response;
        response.status = status;
        (void)co_await exchange.respond(std::move(response));
    }

    asio::awaitable<void> complete(std::shared_ptr<http::Exchange> exchange)
    {
        const std::string kind = exchange->request().body;
        asio::steady_timer never(context(), std::chrono::steady_clock::time_point::max());
        exchange->onClientGone([this, &never] {
            ++cancelled;
            never.cancel();
        });
        ++started;
        if (kind == "silent") {
            (void)co_await never.async_wait(kTuple);
            co_return;
        }
        (void)co_await exchange->beginStream(200, eventStream);
        (void)co_await exchange->write("data: " + chunk("a") + "\n\n");
        if (kind == "broken") {
            (void)co_await exchange->write("data: {\"choices\"\n\n");
        } else if (kind == "cut") {
            exchange->abort();
            co_return;
        } else if (kind == "hanging") {
            (void)co_await never.async_wait(kTuple);
            co_return;
        } else {
            const std::string rest = "data: " + chunk("b") + "\n\ndata: " + kUsage + "\n\n";
            (void)co_await exchange->write(rest);
            if (kind != "unfinished") {
                (void)co_await exchange->write("data: [DONE]\n\n");
            }
        }
        (void)co_await exchange->endStream();
    }

    wire::DispatchRequest call(const std::string &id, const std::string &body)
    {
        wire::DispatchRequest dispatched = request(id);
        dispatched.set_body(body);
        return dispatched;
    }

    asio::awaitable<void> release()
    {
        wire::ReleaseRequest released;
        released.set_program_id("program");
        released.set_epoch(7);
        (void)co_await ask<wire::ReleaseReply>("/release", released.SerializeAsString());
    }

    const http::Headers eventStream{{"Content-Type", "text/event-stream"}};
    http::Headers headers;
    std::vector<std::string> freed;
    int cancelled = 0;
    int started = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(engine_agent, Fixture)

BOOST_AUTO_TEST_CASE(chunksAreForwardedUnchangedAndTheAnswerIsComplete)
{
    run([&]() -> asio::awaitable<void> {
        const DispatchResult result = co_await dispatch(call("c1", "good"));
        BOOST_TEST(result.started);
        BOOST_TEST_REQUIRE(result.chunks.size() == 3U);
        BOOST_TEST(result.chunks[0] == chunk("a"));
        BOOST_TEST(result.chunks[2] == kUsage);
        BOOST_TEST_REQUIRE(result.answer.has_value());
        BOOST_TEST(result.answer->body() == R"({"role":"assistant","content":"ab"})");
        BOOST_TEST(result.answer->usage().prompt_tokens() == 11U);
        BOOST_TEST(http::findHeader(headers, "x-session-id").value() == "program");
        BOOST_TEST(http::findHeader(headers, "x-request-id").value() == "c1");
        BOOST_TEST(http::findHeader(headers, "x-fencing-token").value() == "7");
        BOOST_TEST(!http::findHeader(headers, "Authorization").has_value());
        const DispatchResult again = co_await dispatch(call("c1", "good"));
        BOOST_TEST((again.error && !again.error->notRun()));
        BOOST_TEST(started == 1);
    });
}

BOOST_AUTO_TEST_CASE(engineFailuresMapToDistinctErrors)
{
    run([&]() -> asio::awaitable<void> {
        const DispatchResult broken = co_await dispatch(call("1", "broken"));
        BOOST_TEST((broken.error && broken.error->kind() == ErrorKind::EndpointFailed));
        const DispatchResult unfinished = co_await dispatch(call("2", "unfinished"));
        BOOST_TEST((unfinished.error && unfinished.error->kind() == ErrorKind::EndpointFailed));
        const DispatchResult cut = co_await dispatch(call("3", "cut"));
        BOOST_TEST((cut.error && cut.error->kind() == ErrorKind::ConnectionLost));
        BOOST_TEST((cut.error && !cut.error->notRun()));
        const DispatchResult fenced = co_await dispatch(call("4", "fenced"));
        BOOST_TEST((fenced.error && fenced.error->kind() == ErrorKind::StaleEpoch));
        BOOST_TEST((fenced.error && fenced.error->notRun()));
        const DispatchResult failing = co_await dispatch(call("5", "failing"));
        BOOST_TEST((failing.answer && failing.answer->status() == 500));
        endpoint().close();
        const DispatchResult unreachable = co_await dispatch(call("6", "good"));
        BOOST_TEST((unreachable.error && unreachable.error->notRun()));
    });
}

BOOST_AUTO_TEST_CASE(cancelClosesTheConnectionToTheEngineBeforeAndAfterTheFirstToken)
{
    run([&]() -> asio::awaitable<void> {
        auto silent = co_await open("/dispatch", call("1", "silent").SerializeAsString());
        co_await until([&] { return started == 1; });
        silent->cancel();
        co_await until([&] { return cancelled == 1; });
        auto hanging = co_await open("/dispatch", call("2", "hanging").SerializeAsString());
        co_await until([&] { return started == 2; });
        hanging->cancel();
        co_await until([&] { return cancelled == 2; });
        const DispatchResult next = co_await dispatch(call("3", "good"));
        BOOST_TEST(next.answer.has_value());
    });
}

BOOST_AUTO_TEST_CASE(newerOwnerCancelsTheCallOfTheOlderOwner)
{
    run([&]() -> asio::awaitable<void> {
        auto old = co_await open("/dispatch", call("1", "hanging").SerializeAsString());
        co_await until([&] { return started == 1; });
        wire::DispatchRequest newer = call("2", "good");
        newer.set_epoch(8);
        BOOST_TEST((co_await dispatch(newer)).answer.has_value());
        const DispatchResult stopped = co_await collect(*old);
        BOOST_TEST((stopped.error && stopped.error->kind() == ErrorKind::Cancelled));
        const DispatchResult stale = co_await dispatch(call("3", "good"));
        BOOST_TEST((stale.error && stale.error->kind() == ErrorKind::StaleEpoch));
    });
}

BOOST_AUTO_TEST_CASE(releaseFreesTheProgramInTheEngine)
{
    run([&]() -> asio::awaitable<void> {
        BOOST_TEST((co_await dispatch(call("1", "good"))).answer.has_value());
        co_await release();
        co_await until([&] { return freed.size() == 1; });
        BOOST_TEST(freed[0] == "/v1/sessions/program");
    });
}

BOOST_AUTO_TEST_CASE(loadIsReportedOnChange)
{
    run([&]() -> asio::awaitable<void> {
        auto reports = co_await open("/load", wire::LoadRequest().SerializeAsString());
        wire::LoadReport report;
        const auto next = [&]() -> asio::awaitable<void> {
            auto message = co_await reports->next();
            BOOST_TEST_REQUIRE((message.has_value() && message.value().has_value()));
            BOOST_TEST_REQUIRE(report.ParseFromString(*message.value()));
        };
        while (!report.endpoint_healthy()) {
            co_await next();
        }
        BOOST_TEST(report.incarnation() == kSelf.value());
        auto running = co_await open("/dispatch", call("1", "hanging").SerializeAsString());
        auto queued = co_await open("/dispatch", call("2", "hanging").SerializeAsString());
        while (report.running() != 1 || report.queued() != 1) {
            co_await next();
        }
        running->cancel();
        queued->cancel();
        while (report.running() != 0 || report.queued() != 0) {
            co_await next();
        }
        BOOST_TEST((co_await dispatch(call("3", "good"))).answer.has_value());
        while (report.cached_size() == 0) {
            co_await next();
        }
        BOOST_TEST(report.cached(0).tokens() == 13U);
    });
}

BOOST_AUTO_TEST_CASE(drainLetsRunningCallsFinishAndRefusesOthers)
{
    run([&]() -> asio::awaitable<void> {
        auto running = co_await open("/dispatch", call("1", "hanging").SerializeAsString());
        co_await until([&] { return started == 1; });
        auto queued = co_await open("/dispatch", call("2", "good").SerializeAsString());
        auto reports = co_await open("/load", wire::LoadRequest().SerializeAsString());
        wire::LoadReport report;
        while (report.queued() == 0) {
            auto message = co_await reports->next();
            BOOST_TEST_REQUIRE(report.ParseFromString(*message.value()));
        }
        agent().drain();
        const DispatchResult refused = co_await collect(*queued);
        BOOST_TEST((refused.error && refused.error->kind() == ErrorKind::Draining));
        BOOST_TEST((refused.error && refused.error->notRun()));
        const DispatchResult late = co_await dispatch(call("3", "good"));
        BOOST_TEST((late.error && late.error->kind() == ErrorKind::Draining));
        while (!report.draining()) {
            auto message = co_await reports->next();
            BOOST_TEST_REQUIRE(report.ParseFromString(*message.value()));
        }
        BOOST_TEST(cancelled == 0);
        running->cancel();
        co_await until([&] { return cancelled == 1; });
        // The load stream ends cleanly once the agent has drained.
        auto message = co_await reports->next();
        while (message && message.value()) {
            message = co_await reports->next();
        }
        BOOST_TEST(message.has_value());
    });
}

BOOST_AUTO_TEST_SUITE_END()
