#include "basilhall/gateway/journal_janitor.h"

#include "basilhall/gateway/ledger_snapshot.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::gateway;

namespace
{

const Incarnation kLive("live");
const Incarnation kGone("gone");
constexpr WallMillis kMinute = 60'000;

struct Fixture {
    turns::TurnTable table;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(journal_janitor, Fixture)

BOOST_AUTO_TEST_CASE(batchesGoWhenTheirTurnsAreNoLongerKept)
{
    JournalJanitor janitor(table);
    janitor.onBatch(kLive, 1, {kMinute, {}});
    janitor.onBatch(kLive, 2, {2 * kMinute, {}});
    BOOST_TEST(janitor.expired(kMinute, {}, 10).empty());
    const auto keys = janitor.expired(kMinute + 11'000, {}, 10);
    BOOST_TEST_REQUIRE(keys.size() == 1U);
    BOOST_TEST((keys.front() == journal::batchKey(kLive, 1)));
    BOOST_TEST(janitor.expired(kMinute + 11'000, {}, 10).empty());
}

BOOST_AUTO_TEST_CASE(theLedgerOfAGoneIncarnationGoesLast)
{
    JournalJanitor janitor(table);
    janitor.onLedger(kGone, 0);
    janitor.onBatch(kGone, 1, {kMinute, {}});
    janitor.onBatch(kGone, 2, {kMinute, {}});
    const WallMillis late = 3 * kMinute;
    BOOST_TEST(janitor.expired(late, {}, 2).size() == 2U);
    const auto rest = janitor.expired(late, {}, 2);
    BOOST_TEST_REQUIRE(rest.size() == 1U);
    BOOST_TEST((rest.front() == store::ObjectKey{kLedgerKind, "gone"}));
    BOOST_TEST(janitor.expired(late, {}, 2).empty());
}

// A restart that has read only the ledger removed it, and the next knew nothing of its spending
// (khamir scale-1: BUDGET 3, LOST 9).
BOOST_AUTO_TEST_CASE(aLedgerStaysForItsTimeThoughNoBatchIsKnown)
{
    JournalJanitor janitor(table);
    janitor.onLedger(kGone, kMinute);
    BOOST_TEST(janitor.expired(kMinute, {}, 10).empty());
    BOOST_TEST(janitor.expired(2 * kMinute, {}, 10).size() == 1U);
}

BOOST_AUTO_TEST_CASE(journalsOfLiveIncarnationsAreLeftToThem)
{
    JournalJanitor janitor(table);
    janitor.onLedger(kLive, 0);
    janitor.onBatch(kLive, 1, {kMinute, {}});
    BOOST_TEST(janitor.expired(3 * kMinute, {kLive}, 10).empty());
    BOOST_TEST(janitor.expired(3 * kMinute, {}, 10).size() == 2U);
}

// The start of a chain is needed as long as its last turn.
BOOST_AUTO_TEST_CASE(aTurnThatOthersGoOnFromStays)
{
    JournalJanitor janitor(table);
    const turns::TurnId start("a");
    table.add({start, TeamName("t"), {}, "in", "out", kMinute});
    table.add({turns::TurnId("b"), TeamName("t"), start, "in", "out", 5 * kMinute});
    janitor.onBatch(kLive, 1, {kMinute, {start}});
    table.expire(3 * kMinute);
    BOOST_TEST(janitor.expired(3 * kMinute, {}, 10).empty());
    table.expire(6 * kMinute);
    BOOST_TEST(janitor.expired(6 * kMinute, {}, 10).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
