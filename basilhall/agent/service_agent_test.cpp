#include "basilhall/agent/agent_test_harness.h"

#include <boost/asio/as_tuple.hpp>

namespace asio = boost::asio;
using namespace basilhall;
using namespace basilhall::agent;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

struct Fixture : AgentHarness {
    Fixture()
        : AgentHarness(manifest::EndpointKind::Service)
    {
        startEndpoint([this](std::shared_ptr<http::Exchange> exchange) { return serve(exchange); });
        startAgent();
    }

    ~Fixture() { stop(); }

    asio::awaitable<void> serve(std::shared_ptr<http::Exchange> exchange)
    {
        ++executions;
        seen = exchange->request();
        if (seen.body == "lost") {
            exchange->abort();
            co_return;
        }
        if (seen.body == "slow") {
            (void)co_await release.async_wait(kTuple);
        }
        http::Response response;
        response.status = 201;
        response.headers = json;
        response.body = R"({"booked":true})";
        (void)co_await exchange->respond(std::move(response));
    }

    wire::DispatchRequest call(const std::string &id, const std::string &body)
    {
        wire::DispatchRequest dispatched = request(id);
        dispatched.set_body(body);
        return dispatched;
    }

    const http::Headers json{{"Content-Type", "application/json"}};
    asio::steady_timer release{context(), std::chrono::steady_clock::time_point::max()};
    http::Request seen;
    int executions = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(service_agent, Fixture)

BOOST_AUTO_TEST_CASE(requestIsForwardedAndItsAnswerIsReplayed)
{
    run([&]() -> asio::awaitable<void> {
        const DispatchResult result = co_await dispatch(call("c1", "{}"));
        BOOST_TEST_REQUIRE(result.answer.has_value());
        BOOST_TEST(result.answer->status() == 201);
        BOOST_TEST(result.answer->body() == R"({"booked":true})");
        BOOST_TEST(seen.method == "POST");
        BOOST_TEST(seen.target == "/book?x=1");
        BOOST_TEST(http::findHeader(seen.headers, "Idempotency-Key").value() == "key-c1");
        BOOST_TEST(http::findHeader(seen.headers, "x-call-id").value() == "c1");
        BOOST_TEST(((co_await resolve("c1")).state() == wire::ResolveReply::STATE_DONE));
        const DispatchResult again = co_await dispatch(call("c1", "{}"));
        BOOST_TEST((again.answer && again.answer->status() == 201));
        BOOST_TEST(executions == 1);
    });
}

BOOST_AUTO_TEST_CASE(lostAnswerHasUnknownOutcomeAndUnsentRequestIsNotRun)
{
    run([&]() -> asio::awaitable<void> {
        const DispatchResult lost = co_await dispatch(call("1", "lost"));
        BOOST_TEST((lost.error && lost.error->kind() == ErrorKind::OutcomeUnknown));
        BOOST_TEST((lost.error && !lost.error->notRun()));
        BOOST_TEST(((co_await resolve("1")).state() == wire::ResolveReply::STATE_UNKNOWN));
        endpoint().close();
        const DispatchResult unsent = co_await dispatch(call("2", "{}"));
        BOOST_TEST((unsent.error && unsent.error->notRun()));
        BOOST_TEST(((co_await resolve("2")).state() == wire::ResolveReply::STATE_NEVER));
    });
}

BOOST_AUTO_TEST_CASE(callContinuesWithoutItsOwnerAndItsOutcomeCanBeResolved)
{
    run([&]() -> asio::awaitable<void> {
        {
            auto stream = co_await open("/dispatch", call("1", "slow").SerializeAsString());
            co_await until([&] { return executions == 1; });
        }
        BOOST_TEST(((co_await resolve("1", 8)).state() == wire::ResolveReply::STATE_RUNNING));
        release.cancel();
        wire::ResolveReply reply;
        while (reply.state() != wire::ResolveReply::STATE_DONE) {
            reply = co_await resolve("1", 8);
            BOOST_TEST_REQUIRE((reply.state() != wire::ResolveReply::STATE_NEVER));
        }
        BOOST_TEST(reply.answer().body() == R"({"booked":true})");
        BOOST_TEST(executions == 1);
    });
}

BOOST_AUTO_TEST_CASE(deadlineAfterSendingACallHasUnknownOutcome)
{
    run([&]() -> asio::awaitable<void> {
        wire::DispatchRequest shortTimeout = call("1", "slow");
        shortTimeout.set_timeout_ms(50);
        const DispatchResult result = co_await dispatch(shortTimeout);
        BOOST_TEST((result.error && result.error->kind() == ErrorKind::OutcomeUnknown));
        release.cancel();
    });
}

BOOST_AUTO_TEST_CASE(malformedDispatchesAndOtherKindsAreRefused)
{
    run([&]() -> asio::awaitable<void> {
        auto garbage = co_await open("/dispatch", std::string(100, '\xff'));
        const DispatchResult malformed = co_await collect(*garbage);
        BOOST_TEST((malformed.error && malformed.error->kind() == ErrorKind::InvalidRequest));
        wire::DispatchRequest model = call("1", "{}");
        model.set_kind(wire::CALL_KIND_MODEL);
        const DispatchResult otherKind = co_await dispatch(model);
        BOOST_TEST((otherKind.error && otherKind.error->notRun()));
        wire::DispatchRequest injectedHeader = call("2", "{}");
        injectedHeader.set_path("/book HTTP/1.1\r\nX-Key: y");
        const DispatchResult refused = co_await dispatch(injectedHeader);
        BOOST_TEST((refused.error && refused.error->notRun()));
        auto unknown = co_await open("/other", "");
        BOOST_TEST((co_await unknown->next()).has_error());
        BOOST_TEST(executions == 0);
    });
}

BOOST_AUTO_TEST_SUITE_END()
