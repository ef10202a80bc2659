// A gateway that other gateways do not list, although it runs, must not lose turns.
#include "basilhall/gateway/membership.h"
#include "basilhall/gateway/testing/mesh_fixture.h"

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

namespace
{

// `middle` is not listed. `strong` has read where its turn `t1` is stored, and does not know the
// turn `t2` that continues it.
struct IndexedTurnFixture : MeshFixture {
    IndexedTurnFixture()
    {
        middle->mesh.setMembers({});
        flushUntil([this] { return middle->mesh.isHolder(); });
        BOOST_TEST_REQUIRE(keep(*middle, turn("t1")).has_value());
        middle->keeper.saveLedger();
        strong->mesh.setMembers({weak->mesh.member()});
        weak->mesh.setMembers({strong->mesh.member()});
        flushUntil([this] { return strong->mesh.isSubscribedToTurns() && !weak->mesh.isHolder(); });
        runCoroutine(context, [this]() -> asio::awaitable<void> {
            const Result<void> read = co_await strong->keeper.reader().loadTurns(
                [this] { return strong->mesh.runningGateways(); });
            BOOST_TEST(read.has_value());
        });
        BOOST_TEST_REQUIRE(!strong->state.turns().contains(turns::TurnId("t1")));
        BOOST_TEST_REQUIRE(keep(*middle, turn("t2", "t1")).has_value());
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_unlisted_gateway, MeshFixture)

// A host that was cut off for longer than kSilenceLimit serves again before its peers list it.
BOOST_AUTO_TEST_CASE(turnOfAGatewayWhoseRegistrationWasRemovedIsNotLost)
{
    connectWithLoadedHolder();
    removeSilent(*middle);
    middle->mesh.setMembers({});
    flushUntil([this] { return middle->mesh.isHolder(); });
    BOOST_TEST_REQUIRE(keep(*middle, turn("t1")).has_value());
    const auto found = prompt(*weak, "t1");
    BOOST_TEST((found && found.value() == "inoutnext"));
    const auto foundByHolder = prompt(*strong, "t1");
    BOOST_TEST((foundByHolder && foundByHolder.value() == "inoutnext"));
    const auto none = prompt(*weak, "none");
    BOOST_TEST((!none && none.error().kind() == ErrorKind::NotFound));
}

// All holders restart while such a host is cut off; the new ones know it from its ledger only.
BOOST_AUTO_TEST_CASE(turnOfAnUnlistedGatewayIsNotLostAfterARestartOfTheHolder)
{
    middle->mesh.setMembers({});
    flushUntil([this] { return middle->mesh.isHolder(); });
    BOOST_TEST_REQUIRE(keep(*middle, turn("t1")).has_value());
    strong->mesh.setMembers({weak->mesh.member()});
    weak->mesh.setMembers({strong->mesh.member()});
    flushUntil([this] { return strong->mesh.isSubscribedToTurns() && !weak->mesh.isHolder(); });
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> read = co_await strong->keeper.reader().loadTurns(
            [&] { return strong->mesh.runningGateways(); });
        BOOST_TEST(read.has_value());
    });
    BOOST_TEST_REQUIRE(keep(*middle, turn("t2", "t1")).has_value());
    const auto found = prompt(*weak, "t2");
    BOOST_TEST((found && found.value() == "inoutinoutnext"));
}

// The search reads the turn, but of the turn before it the holder knows only where it is stored.
BOOST_FIXTURE_TEST_CASE(turnThatContinuesAnIndexedOneIsNotReportedAsUnknown, IndexedTurnFixture)
{
    const auto found = prompt(*strong, "t2");
    BOOST_TEST((found || found.error().kind() != ErrorKind::NotFound));
    BOOST_TEST((found && found.value() == "inoutinoutnext"));
}

BOOST_FIXTURE_TEST_CASE(turnThatContinuesAnIndexedOneIsFoundByPeers, IndexedTurnFixture)
{
    const auto found = prompt(*weak, "t2");
    BOOST_TEST((found && found.value() == "inoutinoutnext"));
}

// The holder lists a gateway that the asking one does not, and has not received its turn yet.
BOOST_AUTO_TEST_CASE(turnOfAGatewayThatOnlyTheHolderListsIsNotReportedAsUnknown)
{
    connectWithLoadedHolder();
    weak->mesh.setMembers({strong->mesh.member()});
    middle->state.turns().add(turn("t1"));
    const auto unsure = prompt(*weak, "t1");
    BOOST_TEST((!unsure && unsure.error().kind() == ErrorKind::Unavailable));
    weak->mesh.setMembers({strong->mesh.member(), middle->mesh.member()});
    flushUntil([this] { return weak->mesh.isConnectedToAll(); });
    const auto found = prompt(*weak, "t1");
    BOOST_TEST((found && found.value() == "inoutnext"));
    const auto none = prompt(*weak, "none");
    BOOST_TEST((!none && none.error().kind() == ErrorKind::NotFound));
}

// The writer lists the gateway, which has subscribed to it; the holder does not.
BOOST_AUTO_TEST_CASE(turnWrittenForAGatewayThatOnlyTheWriterListsReachesTheHolders)
{
    const auto writer = makeWriter();
    const auto unlisted = middle;
    middle = writer;
    connectWithLoadedHolder();
    const std::vector<Member> listed{strong->mesh.member(), weak->mesh.member(),
                                     unlisted->mesh.member()};
    writer->mesh.setMembers(listed);
    unlisted->mesh.setMembers({writer->mesh.member()});
    flushUntil([&] {
        return unlisted->mesh.reachableCount() == 1 && writer->mesh.reachableCount() == 3
            && writer->mesh.isSubscribedToTurns();
    });
    BOOST_TEST_REQUIRE(keep(*unlisted, turn("t1")).has_value());
    wait(100ms);
    BOOST_TEST(strong->state.turns().contains(turns::TurnId("t1")));
}

// The writer is lost after it made a turn durable for a gateway that the holder does not list.
BOOST_AUTO_TEST_CASE(turnWrittenForAnUnlistedGatewayReachesTheHolders)
{
    const auto writer = makeWriter();
    const auto unlisted = middle;
    middle = writer;
    connectWithLoadedHolder();
    unlisted->mesh.setMembers({writer->mesh.member()});
    flushUntil([&] { return unlisted->mesh.reachableCount() == 1; });
    BOOST_TEST_REQUIRE(keep(*unlisted, turn("t1")).has_value());
    BOOST_TEST(unlisted->calls == 0);
    wait(100ms);
    BOOST_TEST(strong->state.turns().contains(turns::TurnId("t1")));
    removeSilent(*writer);
    const auto found = prompt(*weak, "t1");
    BOOST_TEST((found && found.value() == "inoutnext"));
}

// A registration that the store still has is older than the process, which cannot register.
BOOST_AUTO_TEST_CASE(oldRegistrationDoesNotCloseTheJournalOfALaterProcess)
{
    connectWithLoadedHolder();
    Member old = middle->mesh.member();
    old.incarnation = Incarnation("middle-0");
    middle->mesh.setMembers({});
    strong->mesh.setMembers({old, weak->mesh.member()});
    strong->mesh.setMembers({weak->mesh.member()});
    weak->mesh.setMembers({strong->mesh.member()});
    flushUntil([this] { return middle->mesh.isHolder(); });
    BOOST_TEST_REQUIRE(keep(*middle, turn("t1")).has_value());
    const auto found = prompt(*weak, "t1");
    BOOST_TEST((found && found.value() == "inoutnext"));
}

// It admits turns of its programs until it knows that another gateway has become their home.
BOOST_AUTO_TEST_CASE(spendingOfAnUnlistedHomeIsReadBeforeAnotherOneAdmits)
{
    const ProgramId program("p");
    connectWithLoadedHolder();
    middle->state.budgets().claim(program, MonotonicClock().now());
    const turns::TurnBudget asked{program, kTeam, 1000, 200};
    BOOST_TEST((middle->state.budgets().admit(asked, MonotonicClock().now())
                == turns::Admission::Admitted));
    flushUntil([&] { return strong->state.budgets().knows(program); });
    removeSilent(*middle);
    middle->mesh.setMembers({});
    flushUntil([this] { return middle->mesh.isHolder(); });
    for (int i = 0; i < 5; ++i) {
        (void)admit(*middle, asked);
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            const Result<void> covered = co_await middle->keeper.cover(program, 2s);
            BOOST_TEST(covered.has_value());
        });
    }
    BOOST_TEST(middle->state.budgets().spent(program) == 1000U);
    BOOST_TEST(!strong->keeper.reader().mayMissSpending());
    BOOST_TEST(strong->keeper.reader().mayMissSpendingOf(middle->mesh.member().incarnation));
    // Programs of other homes do not wait for the object API.
    BOOST_TEST(!strong->keeper.reader().mayMissSpendingOf(weak->mesh.member().incarnation));
    const auto admission = admit(*strong, asked);
    BOOST_TEST((admission && admission.value() == turns::Admission::Exhausted));
}

// An announced turn reaches the holders at once, the spending in the same batch with the next
// update.
BOOST_AUTO_TEST_CASE(spendingThatFollowsAnAnnouncedTurnIsReadBeforeAnotherGatewayAdmits)
{
    const ProgramId program("p");
    const auto writer = std::make_shared<MeshNode>(context, objects, "writer", 600, "b");
    middle = writer;
    connectWithLoadedHolder();
    flushUntil([&] { return writer->mesh.isSubscribedToTurns(); });
    const turns::TurnBudget asked{program, kTeam, 1000, 900};
    writer->state.budgets().claim(program, MonotonicClock().now());
    flushUntil([&] { return strong->state.budgets().knows(program); });
    BOOST_TEST((writer->state.budgets().admit(asked, MonotonicClock().now())
                == turns::Admission::Admitted));
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> covered = co_await writer->keeper.cover(program, 2s);
        BOOST_TEST(covered.has_value());
    });
    BOOST_TEST_REQUIRE(keep(*writer, turn("t1")).has_value());
    BOOST_TEST_REQUIRE(keep(*writer, turn("t2")).has_value());
    wait(50ms);
    writer->mesh.close();
    flushUntil([&] { return strong->state.budgets().isOrphan(program); });
    removeSilent(*writer);
    BOOST_TEST(strong->state.budgets().spent(program) == 900U);
}

// The home is lost before it sent its last admissions, and its registration is not removed yet. Of
// two other holders, each becomes the home of some programs.
BOOST_AUTO_TEST_CASE(spendingOfALostHomeIsReadBeforeItsRegistrationIsRemoved)
{
    const auto home = std::make_shared<MeshNode>(context, objects, "home", 600, "b");
    const auto third = std::make_shared<MeshNode>(context, objects, "third", 90, "c");
    third->keeper.setLedgerKnown();
    middle = home;
    weak = third;
    connect();
    flushUntil([this] { return strong->mesh.isSubscribedToTurns(); });
    std::vector<ProgramId> programs;
    for (int i = 0; i < 8; ++i) {
        programs.emplace_back("p" + std::to_string(i));
        home->state.budgets().claim(programs.back(), MonotonicClock().now());
    }
    flushUntil([&] { return strong->state.budgets().knows(programs.back()); });
    for (const ProgramId &program : programs) {
        BOOST_TEST((home->state.budgets().admit({program, kTeam, 1000, 900}, MonotonicClock().now())
                    == turns::Admission::Admitted));
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            const Result<void> covered = co_await home->keeper.cover(program, 2s);
            BOOST_TEST(covered.has_value());
        });
    }
    home->mesh.close();
    flushUntil([&] {
        return strong->state.budgets().isOrphan(programs[0])
            && third->state.budgets().isOrphan(programs[0]);
    });
    for (const ProgramId &program : programs) {
        const auto admission = admit(*strong, {program, kTeam, 1000, 200});
        BOOST_TEST((admission && admission.value() == turns::Admission::Exhausted));
    }
}

// Requests that wait for a read while the object API does not answer would wait one after the
// other.
BOOST_AUTO_TEST_CASE(failedReadIsNotRepeatedAtOnce)
{
    connectWithLoadedHolder();
    removeSilent(*middle);
    strong->isCutFromStore = true;
    const int calls = strong->calls;
    for (int i = 0; i < 3; ++i) {
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            const Result<void> read = co_await strong->keeper.reader().refresh();
            BOOST_TEST(!read.has_value());
        });
    }
    BOOST_TEST(strong->calls == calls + 1);
    strong->isCutFromStore = false;
    wait(600ms);
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> read = co_await strong->keeper.reader().refresh();
        BOOST_TEST(read.has_value());
    });
}

// Another holder admitted its programs while it was cut off.
BOOST_AUTO_TEST_CASE(homeThatWasCutOffReadsWhatOthersAdmittedBeforeItAdmits)
{
    const ProgramId program("p");
    const auto writer = makeWriter();
    middle = writer;
    connectWithLoadedHolder();
    flushUntil([&] { return writer->mesh.isSubscribedToTurns() && writer->mesh.isHolder(); });
    const turns::TurnBudget asked{program, kTeam, 1000, 200};
    strong->state.budgets().claim(program, MonotonicClock().now());
    BOOST_TEST((strong->state.budgets().admit(asked, MonotonicClock().now())
                == turns::Admission::Admitted));
    flushUntil([&] { return writer->state.budgets().knows(program); });
    writer->mesh.setMembers({weak->mesh.member()});
    strong->mesh.setMembers({weak->mesh.member()});
    flushUntil([&] { return writer->state.budgets().isOrphan(program); });
    for (int i = 0; i < 12; ++i) {
        (void)admit(*writer, asked);
    }
    BOOST_TEST(writer->state.budgets().spent(program) >= 1000U);
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> covered = co_await writer->keeper.cover(program, 2s);
        BOOST_TEST(covered.has_value());
    });
    turns::Admission admission = strong->state.budgets().admit(asked, MonotonicClock().now());
    if (admission == turns::Admission::Elsewhere) {
        const auto answer = askHome(*strong, asked);
        BOOST_TEST_REQUIRE(answer.has_value());
        admission = answer.value();
    }
    BOOST_TEST((admission == turns::Admission::Exhausted));
}

// The store refuses its registration, so no list includes it.
BOOST_AUTO_TEST_CASE(gatewayThatCannotRegisterStaysAMemberWhileItIsSubscribed)
{
    Membership membership(
        context.get_executor(), strong->mesh.member(),
        [this](const store::Request &request, const store::OutcomeHandler &handler) {
            handler(objects.apply(request));
        },
        strong->mesh, logging::Log());
    strong->onMember = [&](const Member &member) { membership.onSubscribed(member); };
    weak->mesh.setMembers({strong->mesh.member()});
    wait(3200ms);
    membership.setAll({strong->mesh.member()});
    BOOST_TEST(strong->mesh.memberCount() == 1U);
    // A late list still has an earlier process of the host.
    Member earlier = weak->mesh.member();
    earlier.incarnation = Incarnation("weak-0");
    membership.setAll({strong->mesh.member(), weak->mesh.member()});
    membership.setAll({strong->mesh.member(), earlier});
    BOOST_TEST(strong->mesh.liveIncarnations().contains(weak->mesh.member().incarnation));
    // Its registration arrives, and is removed because it was silent elsewhere.
    membership.set(weak->mesh.member());
    membership.remove(weak->mesh.member().host);
    BOOST_TEST(strong->mesh.memberCount() == 1U);
    weak->mesh.close();
    wait(100ms);
    membership.dropUnsubscribed();
    BOOST_TEST(strong->mesh.memberCount() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
