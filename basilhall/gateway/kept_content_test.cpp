// Kept turns of the largest size at the usual rate: the content that gateways hold is bounded, and
// all turns can be continued at each of them.

#include "basilhall/gateway/testing/mesh_fixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

namespace
{

constexpr std::size_t kInputBytes = 100'000;
constexpr std::size_t kTurns = 400;

turns::KeptTurn largeTurn(const std::string &id, const std::string &previous = "")
{
    turns::KeptTurn large = turn(id, previous);
    large.input = std::string(kInputBytes, 'i');
    return large;
}

struct LargeTurns : MeshFixture {
    // The gateways keep the turns one after the other; every second one continues the one before.
    void keepAll()
    {
        const std::vector<std::shared_ptr<MeshNode>> nodes{strong, middle, weak};
        for (std::size_t i = 0; i < kTurns; ++i) {
            const std::string previous = i % 2 == 0 ? "" : std::to_string(i - 1);
            const Result<void> kept =
                keep(*nodes[i % nodes.size()], largeTurn(std::to_string(i), previous));
            BOOST_TEST(kept.has_value());
            for (const auto &node : nodes) {
                node->mesh.flush();
            }
        }
        wait(20ms);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(kept_content, LargeTurns)

BOOST_AUTO_TEST_CASE(contentIsBoundedAtAllGatewaysAndAllTurnsGoOn)
{
    connectWithLoadedHolder();
    keepAll();
    for (const auto &node : {strong, middle, weak}) {
        BOOST_TEST(node->state.turns().size() * kInputBytes <= turns::kDefaultContentBytes);
        for (const std::size_t i : {1, 7, 201, 399}) {
            const Result<std::string> prompt = this->prompt(*node, std::to_string(i));
            BOOST_TEST_REQUIRE(prompt.has_value());
            BOOST_TEST(prompt.value().size() > 2 * kInputBytes);
        }
    }
}

// The places of turns are told to the other holders together with the batch that contains them.
BOOST_AUTO_TEST_CASE(turnsGoOnAfterTheLossOfTheGatewayThatWroteThem)
{
    const auto other = makeWriter();
    connect();
    std::vector<Member> members;
    for (const auto &node : {strong, middle, weak, other}) {
        members.push_back(node->mesh.member());
    }
    for (const auto &node : {strong, middle, weak, other}) {
        node->mesh.setMembers(members);
    }
    flushUntil([&] {
        other->mesh.flush();
        return strong->mesh.isSubscribedToTurns() && other->mesh.receivesAllTurns()
            && strong->mesh.receivesAllTurns();
    });
    keepAll();
    strong->mesh.close();
    strong->isCutFromStore = true;
    BOOST_TEST(other->state.turns().size() * kInputBytes <= turns::kDefaultContentBytes);
    for (const std::size_t i : {1, 7, 201, 399}) {
        const Result<std::string> prompt = this->prompt(*other, std::to_string(i));
        BOOST_TEST_REQUIRE(prompt.has_value());
        BOOST_TEST(prompt.value().size() > 2 * kInputBytes);
    }
}

// Content that is not durable cannot be dropped, so no further turn begins.
BOOST_AUTO_TEST_CASE(noFurtherTurnBeginsWhileMuchContentWaitsForTheStore)
{
    connectWithLoadedHolder();
    BOOST_TEST(keep(*strong, largeTurn("first")).has_value());
    BOOST_TEST(strong->keeper.acceptsTurns());
    strong->isStoreSilent = true;
    std::size_t waiting = 0;
    for (std::size_t i = 0; i < 50; ++i) {
        ++waiting;
        asio::co_spawn(
            context,
            [](MeshNode &node, turns::KeptTurn kept, std::size_t &left) -> asio::awaitable<void> {
                (void)co_await node.keeper.keep(std::move(kept), 5s);
                --left;
            }(*strong, largeTurn("w" + std::to_string(i)), waiting),
            asio::detached);
    }
    wait(10ms);
    BOOST_TEST(!strong->keeper.acceptsTurns());
    strong->answerStoreCalls();
    flushUntil([&] { return waiting == 0; });
    BOOST_TEST(strong->keeper.acceptsTurns());
}

BOOST_AUTO_TEST_SUITE_END()
