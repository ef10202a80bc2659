// Where a stream began is found at any gateway, also after the loss of gateways.

#include "basilhall/gateway/testing/mesh_fixture.h"

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

namespace
{

struct OriginFixture : MeshFixture {
    static resumption::StreamOrigin origin(const std::string &attempt)
    {
        const WallMillis now = MonotonicClock().wallMillis();
        return {CallId(attempt), kTeam, "engines", "v1", EndpointName("e"), 1, now, now + 60'000};
    }

    static void begin(MeshNode &node, const resumption::StreamOrigin &origin)
    {
        node.state.origins().add(origin);
        node.mesh.tellOrigin(origin);
    }

    std::optional<resumption::StreamOrigin> find(MeshNode &node, const std::string &attempt)
    {
        std::optional<resumption::StreamOrigin> found;
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            found = co_await node.mesh.findOrigin(CallId(attempt));
        });
        return found;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_stream_origin_search, OriginFixture)

BOOST_AUTO_TEST_CASE(originIsFoundAtEveryOtherGateway)
{
    connect();
    const auto began = origin("a1");
    begin(*weak, began);
    flushUntil([&] { return strong->state.origins().size() == 1; });
    for (const auto &node : {strong, middle}) {
        const auto found = find(*node, "a1");
        BOOST_TEST_REQUIRE(found.has_value());
        BOOST_TEST((*found == began));
    }
    BOOST_TEST(!find(*middle, "a2").has_value());
}

BOOST_AUTO_TEST_CASE(originIsFoundAfterTheLossOfTheGatewayThatServedTheStream)
{
    connect();
    begin(*weak, origin("a1"));
    flushUntil(
        [&] { return strong->state.origins().size() == 1 && middle->state.origins().size() == 1; });
    weak->mesh.close();
    middle->state.origins().expire(MonotonicClock().wallMillis() + 120'000);
    BOOST_TEST(find(*middle, "a1").has_value());
}

// A restarted process of the same host has forgotten it.
BOOST_AUTO_TEST_CASE(gatewayThatForgotTheOriginAsksTheOthers)
{
    connect();
    begin(*strong, origin("a1"));
    flushUntil([&] { return middle->state.origins().size() == 1; });
    strong->state.origins().expire(MonotonicClock().wallMillis() + 120'000);
    BOOST_TEST(find(*strong, "a1").has_value());
}

BOOST_AUTO_TEST_CASE(originsOfAllGatewaysAreKnownAfterTheLossOfAllProcesses)
{
    connect();
    flushUntil([this] { return strong->mesh.isSubscribedToTurns() && !weak->mesh.isHolder(); });
    begin(*weak, origin("a1"));
    begin(*strong, origin("a2"));
    // Together with the streams, so that it becomes durable after them.
    flushUntil([&] { return strong->state.origins().size() == 2; });
    BOOST_TEST(keep(*strong, turn("t1")).has_value());
    BOOST_TEST(weak->calls == 0);
    MeshNode successor(context, objects, "successor", 500);
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> read = co_await successor.keeper.reader().loadLedgers();
        BOOST_TEST(read.has_value());
    });
    BOOST_TEST(successor.state.origins().find(CallId("a1")) != nullptr);
    BOOST_TEST(successor.state.origins().find(CallId("a2")) != nullptr);
}

// A ledger covers the batches before it, which are not read then.
BOOST_AUTO_TEST_CASE(ledgerContainsTheStreamsInTheBatchesThatItCovers)
{
    connect();
    begin(*strong, origin("a1"));
    BOOST_TEST(keep(*strong, turn("t1")).has_value());
    strong->keeper.saveLedger();
    wait(100ms);
    MeshNode successor(context, objects, "successor", 500);
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> read = co_await successor.keeper.reader().loadLedgers();
        BOOST_TEST(read.has_value());
    });
    BOOST_TEST(successor.state.origins().find(CallId("a1")) != nullptr);
}

BOOST_AUTO_TEST_CASE(searchEndsAtOnceWithoutPeers)
{
    const Instant start = MonotonicClock().now();
    BOOST_TEST(!find(*weak, "a1").has_value());
    BOOST_TEST((MonotonicClock().now() - start < 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
