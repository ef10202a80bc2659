// What a stream of a kept turn has said is known at other gateways after the loss of the one that
// relayed it.

#include "basilhall/gateway/call_context.h"
#include "basilhall/gateway/stream_outputs.h"
#include "basilhall/gateway/testing/mesh_fixture.h"

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

namespace
{

struct OutputFixture : MeshFixture {
    OutputFixture()
    {
        route.isResumable = true;
        route.keepsTurns = true;
        for (const auto &node : {strong, middle, weak}) {
            outputs[node.get()] = std::make_unique<StreamOutputs>(
                context.get_executor(), node->state,
                OutputPeers{
                    [node](const CallId &stream, const std::vector<std::string> &regions) {
                        return node->mesh.outputKeepers(stream, regions);
                    },
                    [node](const CallId &stream) { return node->mesh.askedForOutput(stream); },
                    [node](HostName peer, std::string method, std::string message,
                           Duration timeout) {
                        return node->mesh.request(std::move(peer), std::move(method),
                                                  std::move(message), timeout);
                    }},
                logging::Log());
        }
    }

    std::shared_ptr<CallContext> call(const std::string &id, const std::string &continues = "",
                                      std::optional<std::uint64_t> lastEvent = std::nullopt) const
    {
        auto made = std::make_shared<CallContext>();
        made->route = &route;
        made->call.id = CallId(id);
        made->call.continues = CallId(continues);
        made->call.lastEvent = lastEvent;
        made->lastEvent = lastEvent;
        made->arrivedAt = MonotonicClock().now();
        return made;
    }

    Result<void> prepare(MeshNode &node, const std::shared_ptr<CallContext> &call)
    {
        Result<void> ready = success();
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            ready = co_await outputs.at(&node)->prepare(call);
        });
        return ready;
    }

    // The events `from` to `to` of the stream arrive at the gateway.
    void say(MeshNode &node, const std::shared_ptr<CallContext> &call, std::uint64_t from,
             std::uint64_t to, const std::string &text)
    {
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            for (std::uint64_t id = from; id <= to; ++id) {
                call->said->events.push_back({id, text + std::to_string(id)});
                co_await outputs.at(&node)->share(call);
            }
        });
    }

    fleet::Route route;
    std::map<MeshNode *, std::unique_ptr<StreamOutputs>> outputs;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(stream_outputs, OutputFixture)

BOOST_AUTO_TEST_CASE(outputSurvivesTheGatewayThatRelayedIt)
{
    connect();
    const auto first = call("a1");
    BOOST_TEST_REQUIRE(prepare(*weak, first).has_value());
    say(*weak, first, 1, 5, "a");
    weak->mesh.close();
    const auto rest = call("a2", "a1", 4);
    BOOST_TEST_REQUIRE(prepare(*middle, rest).has_value());
    BOOST_TEST(rest->output == "a1a2a3a4");
}

// The second gateway that relays the stream is lost, too.
BOOST_AUTO_TEST_CASE(streamIsContinuedTwice)
{
    connect();
    const auto first = call("a1");
    BOOST_TEST_REQUIRE(prepare(*weak, first).has_value());
    say(*weak, first, 1, 5, "a");
    const auto second = call("a2", "a1", 3);
    BOOST_TEST_REQUIRE(prepare(*middle, second).has_value());
    say(*middle, second, 4, 6, "b");
    // The first one was frozen and goes on.
    say(*weak, first, 6, 9, "a");
    BOOST_TEST(first->isSuperseded);
    middle->mesh.close();
    const auto third = call("a3", "a1", 6);
    BOOST_TEST_REQUIRE(prepare(*strong, third).has_value());
    BOOST_TEST(third->output == "a1a2a3b4b5b6");
}

BOOST_AUTO_TEST_CASE(restOfAnUnknownTurnIsRefusedAsNotRun)
{
    connect();
    const auto first = call("a1");
    BOOST_TEST_REQUIRE(prepare(*weak, first).has_value());
    say(*weak, first, 1, 2, "a");
    for (const auto &rest : {call("a2", "none", 2), call("a2", "a1", 3), call("a2", "", 2)}) {
        const Result<void> ready = prepare(*strong, rest);
        BOOST_TEST_REQUIRE(!ready.has_value());
        BOOST_TEST(ready.error().notRun());
        BOOST_TEST((ready.error().kind() == ErrorKind::Unavailable));
    }
}

// Events must not wait for gateways that do not answer.
BOOST_AUTO_TEST_CASE(eventsGoOnWithoutOtherGateways)
{
    const auto first = call("a1");
    BOOST_TEST_REQUIRE(prepare(*weak, first).has_value());
    const Instant begun = MonotonicClock().now();
    say(*weak, first, 1, 50, "a");
    BOOST_TEST((MonotonicClock().now() - begun < 1s));
    const auto rest = call("a2", "a1", 50);
    BOOST_TEST(prepare(*weak, rest).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
