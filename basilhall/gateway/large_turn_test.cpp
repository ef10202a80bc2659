// Kept turns that are larger than a journal record, a reply or the content in memory.
#include "basilhall/gateway/testing/mesh_fixture.h"
#include "basilhall/journal/batch_codec.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

namespace
{

// The largest body of the users' deployments.
constexpr std::size_t kMaxInput = 4UL * 1024 * 1024;
constexpr std::size_t kOutput = 1024 * 1024;

turns::KeptTurn largeTurn(const std::string &id, std::size_t input,
                          const std::string &previous = "")
{
    turns::KeptTurn large = turn(id, previous);
    large.input = std::string(input, 'i');
    large.output = std::string(kOutput, 'o');
    return large;
}

struct LargeTurnFixture : MeshFixture {
    LargeTurnFixture() { connectWithLoadedHolder(); }

    // Checks that the prompt after the turns is whole at the gateway.
    void checkPrompt(MeshNode &node, const std::string &last, std::size_t bytes)
    {
        const Result<std::string> made = prompt(node, last);
        BOOST_TEST_REQUIRE(made.has_value());
        BOOST_TEST(made.value().size() == bytes + std::string("next").size());
        BOOST_TEST(made.value().ends_with("onext"));
    }

    // Lets other turns take the memory of the content.
    void dropContent()
    {
        for (int i = 0; i < 60; ++i) {
            for (const auto &node : {strong, middle, weak}) {
                turns::KeptTurn other = turn("other" + std::to_string(i));
                other.input = std::string(500'000, 'x');
                node->state.turns().add(other);
            }
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_large_turn, LargeTurnFixture)

// Seen in review/15: a turn of 800,000 bytes ran, and its record was refused.
BOOST_AUTO_TEST_CASE(turnAboveTheSizeOfARecordIsKeptAndGoesOnAtEachGateway)
{
    for (const std::size_t input : {journal::kMaxBatchBytes, kMaxInput}) {
        const std::string id = std::to_string(input);
        BOOST_TEST_REQUIRE(keep(*weak, largeTurn(id, input)).has_value());
        for (const auto &node : {strong, middle, weak}) {
            checkPrompt(*node, id, input + kOutput);
        }
    }
}

BOOST_AUTO_TEST_CASE(largeTurnGoesOnAfterItsContentWasDropped)
{
    BOOST_TEST_REQUIRE(keep(*weak, largeTurn("t", kMaxInput)).has_value());
    wait(20ms);
    for (const auto &node : {strong, middle, weak}) {
        node->mesh.flush();
    }
    wait(20ms);
    dropContent();
    BOOST_TEST(!strong->state.turns().contains(turns::TurnId("t")));
    for (const auto &node : {strong, middle, weak}) {
        checkPrompt(*node, "t", kMaxInput + kOutput);
    }
}

// All gateways are lost; the next one knows only what the store has.
BOOST_AUTO_TEST_CASE(largeTurnGoesOnAfterALossOfAllGateways)
{
    BOOST_TEST_REQUIRE(keep(*weak, largeTurn("t", kMaxInput)).has_value());
    for (const auto &node : {strong, middle, weak}) {
        node->keeper.saveLedger();
        node->mesh.close();
    }
    const auto next = makeWriter();
    next->mesh.setMembers({});
    next->mesh.flush();
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> read =
            co_await next->keeper.reader().loadTurns([&] { return next->mesh.runningGateways(); });
        BOOST_TEST(read.has_value());
    });
    checkPrompt(*next, "t", kMaxInput + kOutput);
}

// A gateway that is no holder could not fetch a chain of more than 8 MiB.
BOOST_AUTO_TEST_CASE(chainAboveTheSizeOfAReplyGoesOnAtEachGateway)
{
    BOOST_TEST_REQUIRE(keep(*weak, largeTurn("t1", kMaxInput)).has_value());
    BOOST_TEST_REQUIRE(keep(*middle, largeTurn("t2", kMaxInput, "t1")).has_value());
    for (const auto &node : {strong, middle, weak}) {
        checkPrompt(*node, "t2", 2 * (kMaxInput + kOutput));
    }
}

// The record that makes the turn exist is written last.
BOOST_AUTO_TEST_CASE(partOfATurnDoesNotExist)
{
    // The first ledger precedes the first batch.
    BOOST_TEST_REQUIRE(keep(*strong, turn("small")).has_value());
    wait(60ms);
    strong->isStoreSilent = true;
    Result<void> kept = success();
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        kept = co_await strong->keeper.keep(largeTurn("t", kMaxInput), 100ms);
    });
    BOOST_TEST(!kept.has_value());
    // Only the batch with the first piece takes effect.
    BOOST_TEST_REQUIRE(!strong->held.empty());
    strong->held.front()();
    const auto next = makeWriter();
    next->mesh.flush();
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> read =
            co_await next->keeper.reader().loadTurns([&] { return next->mesh.runningGateways(); });
        BOOST_TEST(read.has_value());
    });
    BOOST_TEST(next->state.turns().isKept(turns::TurnId("small")));
    BOOST_TEST(next->state.turns().isKept(turns::TurnId("t\n0")));
    BOOST_TEST(!next->state.turns().isKept(turns::TurnId("t")));
    strong->held.clear();
}

BOOST_AUTO_TEST_SUITE_END()
