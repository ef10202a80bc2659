#include "basilhall/turns/budget_ledger.h"

#include <boost/test/unit_test.hpp>

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

    Admission admit(std::uint64_t most)
    {
        return ledger.admit(kProgram, kTeam, 1000, most, kNow);
    }
    void cover(std::uint64_t ahead) { ledger.onDurable(ledger.record(kProgram, ahead)); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(budget_ledger, Fixture)

BOOST_AUTO_TEST_CASE(aTurnThatMightExceedTheBudgetIsNotAdmitted)
{
    BOOST_TEST((admit(400) == Admission::Admitted));
    ledger.settle(kProgram, 400, 300, kNow);
    cover(0);
    BOOST_TEST((admit(701) == Admission::Exhausted));
    BOOST_TEST((admit(700) == Admission::Admitted));
}

BOOST_AUTO_TEST_CASE(whatWasHandedOutIsDurableBeforeTheNextTurn)
{
    BOOST_TEST((admit(100) == Admission::Admitted));
    BOOST_TEST((admit(100) == Admission::NeedsRecord));
    ledger.settle(kProgram, 100, 60, kNow);
    BOOST_TEST((admit(100) == Admission::NeedsRecord));
    BOOST_TEST(ledger.uncovered().size() == 1U);
    cover(0);
    BOOST_TEST(ledger.uncovered().empty());
    BOOST_TEST((admit(100) == Admission::Admitted));
}

BOOST_AUTO_TEST_CASE(aCoverAheadLetsParallelTurnsStart)
{
    BOOST_TEST((admit(100) == Admission::Admitted));
    cover(200);
    BOOST_TEST((admit(100) == Admission::Admitted));
    BOOST_TEST((admit(100) == Admission::Admitted));
    BOOST_TEST((admit(100) == Admission::Admitted));
    BOOST_TEST((admit(100) == Admission::NeedsRecord));
}

BOOST_AUTO_TEST_CASE(turnsOfOtherGatewaysCount)
{
    ledger.onPeerReport(kPeer, {kProgram, kTeam, 500, 500, 300}, kNow);
    BOOST_TEST((admit(201) == Admission::Exhausted));
    BOOST_TEST((admit(200) == Admission::Admitted));
    // An older report that arrives late changes nothing.
    ledger.onPeerReport(kPeer, {kProgram, kTeam, 100, 100, 0}, kNow);
    BOOST_TEST(ledger.spent(kProgram) == 1000U);
}

BOOST_AUTO_TEST_CASE(theCoverOfAGoneGatewayCountsAsSpent)
{
    ledger.onPeerReport(kPeer, {kProgram, kTeam, 500, 900, 0}, kNow);
    BOOST_TEST(ledger.spent(kProgram) == 500U);
    ledger.onPeerGone(kPeer);
    BOOST_TEST(ledger.spent(kProgram) == 900U);
}

BOOST_AUTO_TEST_SUITE_END()
