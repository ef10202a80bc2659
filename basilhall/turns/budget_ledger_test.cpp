#include "basilhall/turns/budget_ledger.h"

#include <boost/test/unit_test.hpp>
#include <functional>

using namespace basilhall;
using namespace basilhall::turns;

namespace
{

const TeamName kTeam("bakers");
const ProgramId kProgram("p");
const Incarnation kSelf("self");
const Incarnation kPeer("peer");
const Instant kNow{};

struct Fixture {
    BudgetLedger ledger{kSelf};

    Fixture() { ledger.claim(kProgram, kNow); }

    Admission admit(std::uint64_t maxTokens)
    {
        return ledger.admit({kProgram, kTeam, 1000, maxTokens}, kNow);
    }
    void cover() { ledger.onDurable(ledger.record(kProgram)); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(budget_ledger, Fixture)

BOOST_AUTO_TEST_CASE(turnThatCouldExceedTheBudgetIsNotAdmitted)
{
    BOOST_TEST((admit(400) == Admission::Admitted));
    ledger.settle(kProgram, 400, 300, kNow);
    cover();
    BOOST_TEST((admit(701) == Admission::Exhausted));
    BOOST_TEST((admit(700) == Admission::Admitted));
}

BOOST_AUTO_TEST_CASE(nextTurnNeedsADurableRecordOfEarlierTurns)
{
    BOOST_TEST((admit(100) == Admission::Admitted));
    BOOST_TEST((admit(100) == Admission::NeedsRecord));
    ledger.settle(kProgram, 100, 60, kNow);
    BOOST_TEST((admit(100) == Admission::NeedsRecord));
    cover();
    BOOST_TEST((admit(100) == Admission::Admitted));
}

BOOST_AUTO_TEST_CASE(turnIsCoveredByADurableRecordThatWasMadeAfterItsAdmission)
{
    const SpendReport before = ledger.record(kProgram);
    BOOST_TEST((admit(400) == Admission::Admitted));
    const std::uint64_t number = ledger.changeNumber(kProgram);
    ledger.onDurable(before);
    BOOST_TEST(!ledger.isCovered(kProgram, number));
    ledger.onDurable(ledger.record(kProgram));
    BOOST_TEST(ledger.isCovered(kProgram, number));
}

BOOST_AUTO_TEST_CASE(recordOfTurnsInFlightAllowsParallelTurns)
{
    BOOST_TEST((admit(100) == Admission::Admitted));
    cover();
    BOOST_TEST((admit(100) == Admission::Admitted));
    BOOST_TEST((admit(100) == Admission::NeedsRecord));
    cover();
    BOOST_TEST((admit(100) == Admission::Admitted));
}

// The turns of a program run at a different gateway each time, faster than records become durable;
// then all processes are lost at the same time.
BOOST_AUTO_TEST_CASE(atMostOneTurnPerProgramIsUnknownAfterLossOfAllProcesses)
{
    const TurnBudget turn{kProgram, kTeam, 1000, 100};
    std::vector<std::pair<Incarnation, SpendReport>> durable;
    std::uint64_t delivered = 0;
    for (int i = 0; i < 6; ++i) {
        const Incarnation asker("asker-" + std::to_string(i));
        Admission verdict = ledger.grant(asker, turn, kNow);
        if (verdict == Admission::NeedsRecord) {
            const SpendReport record = ledger.record(kProgram);
            durable.emplace_back(kSelf, record);
            ledger.onDurable(record);
            verdict = ledger.grant(asker, turn, kNow);
        }
        BOOST_TEST((verdict == Admission::Admitted));
        delivered += 100;
    }
    BudgetLedger successor{kPeer};
    for (const auto &[writer, record] : durable) {
        successor.onJournalReport(writer, record, kNow);
    }
    BOOST_TEST(successor.spent(kProgram) + turn.maxTokens >= delivered);
}

BOOST_AUTO_TEST_CASE(homeAdmitsTheTurnsOfAllGateways)
{
    BudgetLedger home{kPeer};
    const TurnBudget turn{kProgram, kTeam, 1000, 400};
    home.claim(kProgram, kNow);
    BOOST_TEST((home.admit(turn, kNow) == Admission::Admitted));
    for (const SpendReport &report : home.takeChanges()) {
        ledger.onPeerReport(kPeer, report, kNow);
    }
    BudgetLedger asker{kSelf};
    for (const SpendReport &report : home.localReports()) {
        asker.onPeerReport(kPeer, report, kNow);
    }
    BOOST_TEST((asker.admit(turn, kNow) == Admission::Elsewhere));
    BOOST_TEST(asker.home(kProgram) == kPeer);
    home.onDurable(home.record(kProgram));
    BOOST_TEST((home.grant(kSelf, turn, kNow) == Admission::Admitted));
    // The grant counts before the asker reports it, and is not counted twice afterwards.
    BOOST_TEST((home.grant(kSelf, turn, kNow) == Admission::Exhausted));
    ledger.onGranted(turn, kNow);
    for (const SpendReport &report : ledger.takeChanges()) {
        home.onPeerReport(kSelf, report, kNow);
    }
    BOOST_TEST(home.spent(kProgram) == 800U);
    ledger.settle(kProgram, 400, 100, kNow);
    for (const SpendReport &report : ledger.takeChanges()) {
        home.onPeerReport(kSelf, report, kNow);
    }
    BOOST_TEST(home.spent(kProgram) == 500U);
    home.onDurable(home.record(kProgram));
    BOOST_TEST((home.grant(kSelf, turn, kNow) == Admission::Admitted));
}

// Turns of one program start at the same time at three gateways; the budget allows two.
BOOST_AUTO_TEST_CASE(concurrentTurnsAtSeveralGatewaysStayWithinTheBudget)
{
    BudgetLedger home{kPeer};
    const Incarnation third("third");
    const TurnBudget turn{kProgram, kTeam, 1150, 575};
    int admitted = home.admit(turn, kNow) == Admission::Admitted ? 1 : 0;
    for (const Incarnation &asker : {kSelf, third, kSelf, third}) {
        home.onDurable(home.record(kProgram));
        admitted += home.grant(asker, turn, kNow) == Admission::Admitted ? 1 : 0;
    }
    BOOST_TEST(admitted == 2);
}

BOOST_AUTO_TEST_CASE(programOfALostHomeCanBeClaimed)
{
    ledger.onPeerReport(kPeer, {kProgram, kTeam, 300, 300, 0, 0, true}, kNow);
    ledger.onPeerLost(kPeer);
    BOOST_TEST((admit(100) == Admission::Orphaned));
    ledger.claim(kProgram, kNow);
    cover();
    BOOST_TEST((admit(701) == Admission::Exhausted));
    BOOST_TEST((admit(700) == Admission::Admitted));
}

// The home is lost together with a gateway for which it admitted a turn.
BOOST_AUTO_TEST_CASE(totalOfALostHomeCountsAsSpent)
{
    ledger.onPeerReport(kPeer, {kProgram, kTeam, 300, 300, 0, 0, true, 800}, kNow);
    BOOST_TEST(ledger.spent(kProgram) == 300U);
    ledger.onPeerLost(kPeer);
    BOOST_TEST(ledger.spent(kProgram) == 800U);
}

// The home records a turn in flight with its maximum, then its end, and is lost with all others.
// The records may be read in any order.
BOOST_AUTO_TEST_CASE(newestRecordOfALostHomeCounts)
{
    BOOST_TEST((admit(575) == Admission::Admitted));
    const SpendReport inFlight = ledger.record(kProgram);
    ledger.settle(kProgram, 575, 100, kNow);
    const SpendReport ended = ledger.record(kProgram);
    for (const bool newestFirst : {false, true}) {
        BudgetLedger successor{kPeer};
        successor.onJournalReport(kSelf, newestFirst ? ended : inFlight, kNow);
        successor.onJournalReport(kSelf, newestFirst ? inFlight : ended, kNow);
        BOOST_TEST(successor.spent(kProgram) == 100U);
        successor.claim(kProgram, kNow);
        successor.onDurable(successor.record(kProgram));
        BOOST_TEST((successor.admit({kProgram, kTeam, 1000, 575}, kNow) == Admission::Admitted));
    }
}

BOOST_AUTO_TEST_CASE(endedTurnIsRecordedAgainIfItsMaximumWouldBlockTheNextTurn)
{
    BOOST_TEST((admit(575) == Admission::Admitted));
    cover();
    BOOST_TEST(ledger.overcountedPrograms().empty());
    ledger.settle(kProgram, 575, 100, kNow);
    BOOST_TEST((ledger.overcountedPrograms() == std::vector{kProgram}));
    cover();
    BOOST_TEST(ledger.overcountedPrograms().empty());
}

BOOST_AUTO_TEST_CASE(endedTurnIsNotRecordedAgainWhileTheBudgetIsLarge)
{
    BOOST_TEST((admit(400) == Admission::Admitted));
    cover();
    ledger.settle(kProgram, 400, 100, kNow);
    BOOST_TEST(ledger.overcountedPrograms().empty());
}

// A record with a lower total is written while turns are admitted under an earlier, higher one.
BOOST_AUTO_TEST_CASE(turnsAreAdmittedUnderTheLowestRecordThatMayBecomeTheNewest)
{
    BOOST_TEST((admit(500) == Admission::Admitted));
    cover();
    ledger.settle(kProgram, 500, 50, kNow);
    const SpendReport lower = ledger.record(kProgram);
    BOOST_TEST((admit(200) == Admission::Admitted));
    BOOST_TEST((admit(200) == Admission::NeedsRecord));
    ledger.onDurable(lower);
    BOOST_TEST((admit(200) == Admission::NeedsRecord));
    // An older record that becomes durable late covers nothing.
    ledger.onDurable({kProgram, kTeam, 0, 500, 500, 0, true, 500, 1});
    BOOST_TEST((admit(200) == Admission::NeedsRecord));
}

// A ledger or an update with the lower total of an ended turn replaces the durable record, and the
// home is lost after two more turns.
BOOST_AUTO_TEST_CASE(turnsAreAdmittedUnderTheLowestTotalThatASuccessorMayKnow)
{
    const std::vector<std::function<void()>> reports{[this] { (void)ledger.summary(); },
                                                     [this] { (void)ledger.takeChanges(); },
                                                     [this] { (void)ledger.localReports(); }};
    for (const auto &report : reports) {
        ledger = BudgetLedger(kSelf);
        ledger.claim(kProgram, kNow);
        BOOST_TEST((admit(500) == Admission::Admitted));
        cover();
        ledger.settle(kProgram, 500, 50, kNow);
        report();
        BOOST_TEST((admit(200) == Admission::Admitted));
        BOOST_TEST((admit(200) == Admission::NeedsRecord));
        cover();
        BOOST_TEST((admit(200) == Admission::Admitted));
    }
}

// A gateway of the previous version writes records without numbers.
BOOST_AUTO_TEST_CASE(recordWithoutNumberOnlyRaisesTheTotal)
{
    ledger.onJournalReport(kPeer, {kProgram, kTeam, 0, 300, 0, 0, true, 300}, kNow);
    ledger.onJournalReport(kPeer, {kProgram, kTeam, 0, 200, 0, 0, true, 200}, kNow);
    BOOST_TEST(ledger.spent(kProgram) == 300U);
}

// The size of the summary does not depend on the number of gateways: here the turns ran at 40.
BOOST_AUTO_TEST_CASE(summaryHasOneEntryPerProgram)
{
    ledger.claim(kProgram, kNow);
    for (int i = 0; i < 40; ++i) {
        ledger.onPeerReport(Incarnation("peer-" + std::to_string(i)), {kProgram, kTeam, 10, 10},
                            kNow);
    }
    const auto summary = ledger.summary();
    BOOST_TEST_REQUIRE(summary.size() == 1U);
    BudgetLedger successor{kPeer};
    successor.onJournalReport(summary[0].first, summary[0].second, kNow);
    BOOST_TEST(successor.spent(kProgram) == 400U);
}

// A ledger states the programs of its own journal only.
BOOST_AUTO_TEST_CASE(summaryOfSomeProgramsLeavesTheOthersOut)
{
    const ProgramId other("other");
    ledger.claim(kProgram, kNow);
    ledger.claim(other, kNow);
    for (const ProgramId &program : {kProgram, other}) {
        ledger.onPeerReport(kPeer, {program, kTeam, 10, 10}, kNow);
    }
    BOOST_TEST(ledger.summary().size() == 2U);
    const auto summary = ledger.summary({other, ProgramId("unknown")});
    BOOST_TEST_REQUIRE(summary.size() == 1U);
    BOOST_TEST((summary[0].second.program == other));
    BOOST_TEST(summary[0].second.total == 10U);
}

// The new home knows earlier spending only as a total; what live gateways deliver afterwards is
// added to it.
BOOST_AUTO_TEST_CASE(newHomeAddsLaterSpendingToTheEarlierTotal)
{
    BudgetLedger newHome{kPeer};
    const Incarnation third("third");
    const Incarnation home("home");
    newHome.onJournalReport(home, {kProgram, kTeam, 0, 0, 0, 0, false, 500}, kNow);
    newHome.onPeerReport(third, {kProgram, kTeam, 100, 0, 50}, kNow);
    newHome.claim(kProgram, kNow);
    BOOST_TEST(newHome.spent(kProgram) == 500U);
    newHome.onPeerReport(third, {kProgram, kTeam, 250, 0, 0}, kNow);
    BOOST_TEST(newHome.spent(kProgram) == 600U);
}

// The asker has reported turns that an earlier home admitted, so their number says nothing about
// the turns that the new home admits.
BOOST_AUTO_TEST_CASE(turnsAdmittedByANewHomeCountBeforeTheAskerReportsThem)
{
    const TurnBudget turn{kProgram, kTeam, 1000, 400};
    ledger.onPeerReport(kPeer, {kProgram, kTeam, 60, 60, 0, 3}, kNow);
    cover();
    BOOST_TEST((ledger.grant(kPeer, turn, kNow) == Admission::Admitted));
    BOOST_TEST(ledger.spent(kProgram) == 460U);
    cover();
    BOOST_TEST((ledger.grant(kPeer, turn, kNow) == Admission::Admitted));
    cover();
    BOOST_TEST((ledger.grant(kPeer, turn, kNow) == Admission::Exhausted));
    // The asker reports the second one only after the first.
    ledger.onPeerReport(kPeer, {kProgram, kTeam, 60, 60, 400, 4}, kNow);
    BOOST_TEST(ledger.spent(kProgram) == 860U);
}

// The last record of the lost home, with a turn of a gateway that was lost too, is read after
// another gateway became the home and admitted turns.
BOOST_AUTO_TEST_CASE(recordOfALostHomeThatIsReadLateAddsToTheTotal)
{
    BudgetLedger lost{kPeer};
    lost.claim(kProgram, kNow);
    BOOST_TEST((lost.admit({kProgram, kTeam, 2000, 300}, kNow) == Admission::Admitted));
    lost.onDurable(lost.record(kProgram));
    BudgetLedger home{kSelf};
    for (const SpendReport &report : lost.takeChanges()) {
        home.onPeerReport(kPeer, report, kNow);
    }
    BOOST_TEST((lost.grant(Incarnation("asker"), {kProgram, kTeam, 2000, 250}, kNow)
                == Admission::Admitted));
    const SpendReport last = lost.record(kProgram);
    home.onPeerLost(kPeer);
    home.claim(kProgram, kNow);
    home.onDurable(home.record(kProgram));
    BOOST_TEST((home.admit({kProgram, kTeam, 2000, 400}, kNow) == Admission::Admitted));
    BOOST_TEST(home.spent(kProgram) == 700U);
    home.onJournalReport(kPeer, last, kNow);
    BOOST_TEST(home.spent(kProgram) == 950U);
}

// Homes that reach the object API but not each other read all records before each admission. The
// turns run at gateways that each reach one of them.
BOOST_AUTO_TEST_CASE(homesThatOnlyReadEachOthersRecordsStayWithinTheBudget)
{
    const TurnBudget turn{kProgram, kTeam, 1725, 575};
    std::vector<BudgetLedger> homes{BudgetLedger(Incarnation("a")), BudgetLedger(Incarnation("b")),
                                    BudgetLedger(Incarnation("c"))};
    const std::vector<Incarnation> names{Incarnation("a"), Incarnation("b"), Incarnation("c")};
    const std::vector<Incarnation> askers{Incarnation("x"), Incarnation("y"), Incarnation("z")};
    std::vector<SpendReport> records(homes.size());
    std::vector<std::uint64_t> spent(homes.size());
    std::uint64_t delivered = 0;
    for (std::size_t i = 0; i < 60; ++i) {
        const std::size_t at = i % homes.size();
        BudgetLedger &home = homes[at];
        for (std::size_t other = 0; other < homes.size(); ++other) {
            if (!records[other].program.isEmpty()) {
                home.onJournalReport(names[other], records[other], kNow);
            }
        }
        home.claim(kProgram, kNow);
        home.onDurable(home.record(kProgram));
        if (home.grant(askers[at], turn, kNow) == Admission::Admitted) {
            delivered += 45;
            spent[at] += 45;
            home.onPeerReport(askers[at], {kProgram, kTeam, spent[at], 0, 0, spent[at] / 45}, kNow);
        }
        records[at] = home.record(kProgram);
        home.onDurable(records[at]);
    }
    BOOST_TEST(delivered <= turn.budget);
    // What one home reads of another is not passed on as its own.
    BOOST_TEST(delivered > turn.budget - 575);
}

// The asker times out before the answer of the home arrives, and the turn never runs.
BOOST_AUTO_TEST_CASE(grantThatIsNeverReportedExpires)
{
    using namespace std::chrono_literals;
    const TurnBudget turn{kProgram, kTeam, 1000, 600};
    BOOST_TEST((ledger.grant(kPeer, turn, kNow) == Admission::Admitted));
    cover();
    BOOST_TEST((ledger.grant(kPeer, turn, kNow + 1s) == Admission::Exhausted));
    BOOST_TEST((ledger.grant(kPeer, turn, kNow + 4s) == Admission::Admitted));
}

BOOST_AUTO_TEST_CASE(concurrentClaimsResolveToTheSameHome)
{
    BudgetLedger other{kPeer};
    ledger.claim(kProgram, kNow);
    other.claim(kProgram, kNow);
    const SpendReport claim{kProgram, kTeam, 0, 0, 0, 0, true};
    ledger.onPeerReport(kPeer, claim, kNow);
    other.onPeerReport(kSelf, claim, kNow);
    BOOST_TEST(ledger.home(kProgram) == other.home(kProgram));
}

BOOST_AUTO_TEST_CASE(journalReportNeitherLowersNorReplacesLiveReports)
{
    ledger.onJournalReport(kPeer, {kProgram, kTeam, 200, 600}, kNow);
    BOOST_TEST(ledger.spent(kProgram) == 600U);
    ledger.onPeerReport(kPeer, {kProgram, kTeam, 300, 600, 100, 0, true}, kNow);
    BOOST_TEST(ledger.spent(kProgram) == 400U);
    ledger.onJournalReport(kPeer, {kProgram, kTeam, 200, 600}, kNow);
    BOOST_TEST(ledger.spent(kProgram) == 400U);
    ledger.onPeerLost(kPeer);
    ledger.onJournalReport(kPeer, {kProgram, kTeam, 300, 700}, kNow);
    BOOST_TEST(ledger.spent(kProgram) == 700U);
}

BOOST_AUTO_TEST_CASE(olderReportThatArrivesLateIsIgnored)
{
    ledger.onPeerReport(kPeer, {kProgram, kTeam, 500, 500, 300, 0, true}, kNow);
    ledger.onPeerReport(kPeer, {kProgram, kTeam, 100, 100, 0, 0, true}, kNow);
    BOOST_TEST(ledger.spent(kProgram) == 800U);
}

BOOST_AUTO_TEST_CASE(coveredTokensOfALostGatewayCountAsSpent)
{
    ledger.onPeerReport(kPeer, {kProgram, kTeam, 500, 900, 0}, kNow);
    BOOST_TEST(ledger.spent(kProgram) == 500U);
    ledger.onPeerLost(kPeer);
    BOOST_TEST(ledger.spent(kProgram) == 900U);
}

BOOST_AUTO_TEST_SUITE_END()
