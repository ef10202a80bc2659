#include "basilhall/turns/turn_table.h"

#include "basilhall/turns/pinned_turns.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::turns;

namespace
{

const TeamName kTeam("bakers");

KeptTurn turn(const std::string &id, const std::string &previous, WallMillis until)
{
    return {TurnId(id), kTeam, TurnId(previous), "in-" + id + ";", "out-" + id + "\n", until};
}

struct Fixture {
    Fixture()
    {
        table.add(turn("a", "", 100));
        table.add(turn("b", "a", 200));
    }
    TurnTable table;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(turn_table, Fixture)

BOOST_AUTO_TEST_CASE(promptContainsTheChainOldestFirst)
{
    const auto prompt = table.prompt(TurnId("b"), kTeam, "new");
    BOOST_TEST_REQUIRE(prompt.has_value());
    BOOST_TEST(prompt.value() == "in-a;out-a\nin-b;out-b\nnew");
    BOOST_TEST(table.prompt(TurnId(), kTeam, "first").value() == "first");
}

BOOST_AUTO_TEST_CASE(promptReportsUnknownTurnsAndTurnsOfOtherTeamsAsNotFound)
{
    BOOST_TEST((table.prompt(TurnId("x"), kTeam, "").error().kind() == ErrorKind::NotFound));
    const auto foreign = table.prompt(TurnId("b"), TeamName("other"), "");
    BOOST_TEST((foreign.error().kind() == ErrorKind::NotFound));
    BOOST_TEST(foreign.error().notRun());
}

BOOST_AUTO_TEST_CASE(chainListsTurnsBackToTheFirst)
{
    const auto chain = table.chain(TurnId("b"));
    BOOST_TEST_REQUIRE(chain.size() == 2U);
    BOOST_TEST(chain.front().id == TurnId("b"));
    BOOST_TEST(chain.back().id == TurnId("a"));
    BOOST_TEST(table.chain(TurnId("x")).empty());
}

BOOST_AUTO_TEST_CASE(chainIsKeptAsLongAsItsLastTurn)
{
    table.expire(150);
    BOOST_TEST(table.size() == 2U);
    table.expire(201);
    BOOST_TEST(table.size() == 0U);
}

// Journals are read in the order of their names, not in the order of the turns.
BOOST_AUTO_TEST_CASE(turnsThatAreAddedAfterTheirContinuationAreKeptAsLong)
{
    table.add(turn("z", "y", 500));
    table.add(turn("y", "x", 200));
    table.add(turn("x", "", 100));
    table.expire(300);
    BOOST_TEST(table.prompt(TurnId("z"), kTeam, "n").has_value());
    table.expire(501);
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(severalTurnsCanContinueTheSameTurn)
{
    table.add(turn("c", "a", 300));
    BOOST_TEST(table.prompt(TurnId("c"), kTeam, "n").value() == "in-a;out-a\nin-c;out-c\nn");
    table.expire(250);
    BOOST_TEST(table.size() == 2U);
}

BOOST_AUTO_TEST_CASE(missingListsWhereTheUnknownTurnsOfAChainAreStored)
{
    const StoredTurn first{Incarnation("j"), 3, TurnId(), 100};
    const StoredTurn second{Incarnation("k"), 1, TurnId("f"), 100};
    table.addStored(TurnId("f"), first);
    table.addStored(TurnId("g"), second);
    table.add(turn("h", "g", 100));
    BOOST_TEST((table.missing(TurnId("h")) == std::vector{second, first}));
    BOOST_TEST(table.missing(TurnId("b"))->empty());
    BOOST_TEST(!table.missing(TurnId("x")));
    BOOST_TEST(!table.contains(TurnId("f")));
    BOOST_TEST(table.isKept(TurnId("f")));
    table.add(turn("f", "", 100));
    BOOST_TEST((table.missing(TurnId("h")) == std::vector{second}));
}

BOOST_AUTO_TEST_CASE(missingIsUnknownIfALinkOfTheChainIs)
{
    table.addStored(TurnId("g"), {Incarnation("k"), 1, TurnId("f"), 100});
    BOOST_TEST(!table.missing(TurnId("g")));
}

BOOST_AUTO_TEST_CASE(storedTurnsAreKeptAsLongAsTheirContinuation)
{
    table.addStored(TurnId("f"), {Incarnation("j"), 3, TurnId(), 100});
    table.add(turn("g", "f", 300));
    table.expire(200);
    BOOST_TEST(table.isKept(TurnId("f")));
    // Its content is read later.
    table.add(turn("f", "", 100));
    table.expire(250);
    BOOST_TEST(table.prompt(TurnId("g"), kTeam, "n").has_value());
    table.expire(301);
    BOOST_TEST(!table.isKept(TurnId("f")));
}

// A gateway that may not hold a turn would read it from nowhere, or answer that it does not exist.
BOOST_AUTO_TEST_CASE(turnThatAnotherGatewayKeepsIsKeptWithoutAPlace)
{
    table.addStored(TurnId("w"), {Incarnation(), 0, TurnId("b"), 300, {"north"}});
    BOOST_TEST(table.isKept(TurnId("w")));
    BOOST_TEST(!table.contains(TurnId("w")));
    BOOST_TEST(!table.missing(TurnId("w")).has_value());
    BOOST_TEST(!table.prompt(TurnId("w"), kTeam, "new").has_value());
    // Its chain is kept as long.
    table.expire(250);
    BOOST_TEST((table.contains(TurnId("b")) && table.contains(TurnId("a"))));
    table.addStored(TurnId("w"), {Incarnation("j"), 7, TurnId("b"), 200, {"north"}});
    const auto missing = table.missing(TurnId("w"));
    BOOST_TEST_REQUIRE((missing && missing->size() == 1U));
    BOOST_TEST(missing->front().batch == 7U);
    BOOST_TEST(missing->front().keptUntil == 300);
    BOOST_TEST((table.unread(TurnId("w")) == std::vector<TurnId>{TurnId("w")}));
    table.expire(301);
    BOOST_TEST(!table.isKept(TurnId("w")));
}

// Kept turns of the largest size at the usual rate filled the memory of all gateways in 15 s.
BOOST_AUTO_TEST_CASE(contentInMemoryIsBoundedAndAllTurnsStayKnown)
{
    constexpr std::size_t kInputBytes = 100'000;
    constexpr std::size_t kTurns = 400;
    TurnTable bounded;
    for (std::size_t i = 0; i < kTurns; ++i) {
        KeptTurn large = turn(std::to_string(i), "", 100);
        large.input = std::string(kInputBytes, 'i');
        bounded.add(large);
    }
    BOOST_TEST(bounded.size() * kInputBytes <= kDefaultContentBytes);
    for (std::size_t i = 0; i < kTurns; ++i) {
        BOOST_TEST(bounded.isKept(TurnId(std::to_string(i))));
    }
}

BOOST_AUTO_TEST_CASE(contentThatWasNotUsedForLongestIsDroppedFirst)
{
    TurnTable small(1000);
    for (const std::string id : {"a", "b", "c"}) {
        small.add(turn(id, "", 100));
    }
    BOOST_TEST(small.prompt(TurnId("a"), kTeam, "").has_value());
    small.add(turn("d", "", 100));
    BOOST_TEST(small.contains(TurnId("a")));
    BOOST_TEST(!small.contains(TurnId("b")));
    BOOST_TEST(small.isKept(TurnId("b")));
    BOOST_TEST(!small.missing(TurnId("b")));
    small.addStored(TurnId("b"), {Incarnation("j"), 3, TurnId(), 100});
    BOOST_TEST_REQUIRE(small.missing(TurnId("b")).has_value());
    BOOST_TEST(small.missing(TurnId("b"))->front().batch == 3U);
}

BOOST_AUTO_TEST_CASE(pinnedContentIsNotDropped)
{
    TurnTable small(1000);
    {
        const PinnedTurns pinned(small, {TurnId("a"), TurnId("e")});
        for (const std::string id : {"a", "b", "c", "d", "e", "f"}) {
            small.add(turn(id, "", 100));
        }
        BOOST_TEST((small.contains(TurnId("a")) && small.contains(TurnId("e"))));
        BOOST_TEST(!small.contains(TurnId("b")));
        BOOST_TEST(small.contentBytes() <= small.maxContentBytes());
        BOOST_TEST(small.pinnedBytes() > 0U);
    }
    BOOST_TEST(small.pinnedBytes() == 0U);
    small.add(turn("g", "", 100));
    BOOST_TEST(!small.contains(TurnId("a")));
}

BOOST_AUTO_TEST_CASE(chainIdsListAllKnownTurnsOfAChain)
{
    table.addStored(TurnId("s"), {Incarnation("j"), 3, TurnId("b"), 100});
    table.add(turn("t", "s", 100));
    const std::vector<TurnId> all{TurnId("t"), TurnId("s"), TurnId("b"), TurnId("a")};
    BOOST_TEST((table.chainIds(TurnId("t")) == all));
    BOOST_TEST(table.chainIds(TurnId("x")).empty());
}

BOOST_AUTO_TEST_CASE(turnHasTheRegionsThatItWasKeptWith)
{
    BOOST_TEST(table.allowedRegions(TurnId("a")).empty());
    KeptTurn restricted = turn("r", "b", 300);
    restricted.allowedRegions = {"north"};
    table.add(restricted);
    BOOST_TEST((table.allowedRegions(TurnId("r")) == std::vector<std::string>{"north"}));
    BOOST_TEST(table.allowedRegions(TurnId("a")).empty());
    BOOST_TEST(table.allowedRegions(TurnId("none")).empty());
}

BOOST_AUTO_TEST_SUITE_END()
