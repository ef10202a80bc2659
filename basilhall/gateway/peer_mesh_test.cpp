#include "basilhall/gateway/peer_mesh.h"

#include "basilhall/gateway/testing/mesh_fixture.h"

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

BOOST_FIXTURE_TEST_SUITE(gateway_peer_mesh, MeshFixture)

BOOST_AUTO_TEST_CASE(gatewayWithTheHighestCpuLimitWritesForAll)
{
    connect();
    BOOST_TEST(keep(*weak, turn("t1")).has_value());
    BOOST_TEST(keep(*middle, turn("t2")).has_value());
    BOOST_TEST(weak->calls == 0);
    BOOST_TEST(middle->calls == 0);
    BOOST_TEST(strong->calls > 0);
    // Turns that were written for other gateways can be read after the loss of all processes.
    MeshNode successor(context, objects, "successor", 500);
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> read = co_await successor.keeper.reader().loadTurns(
            [&] { return successor.mesh.runningGateways(); });
        BOOST_TEST(read.has_value());
    });
    BOOST_TEST(successor.state.turns().contains(turns::TurnId("t1")));
    BOOST_TEST(successor.state.turns().contains(turns::TurnId("t2")));
}

// A restarted gateway fetches the spending of lost gateways from a peer, however late it asks.
BOOST_AUTO_TEST_CASE(ledgerIsFetchedFromAPeerThatKnowsIt)
{
    const Incarnation gone("gone-1");
    strong->state.budgets().onJournalReport(gone, {ProgramId("p"), kTeam, 0, 0, 0, 0, false, 900},
                                            MonotonicClock().now());
    const auto fresh = std::make_shared<MeshNode>(context, objects, "fresh", 90);
    middle = fresh;
    connect();
    bool isFetched = false;
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        isFetched = co_await fresh->mesh.fetchLedger();
    });
    BOOST_TEST(isFetched);
    BOOST_TEST(fresh->state.budgets().spent(ProgramId("p")) == 900U);
}

// After a restart of all gateways, those that are no holders serve before they have the ledger,
// which the links of the holders cannot send to all of a large fleet at once.
BOOST_AUTO_TEST_CASE(gatewayWithoutTheLedgerServesThroughAHolder)
{
    const auto fresh = std::make_shared<MeshNode>(context, objects, "fresh", 90);
    fresh->keeper.setLoaded();
    middle = fresh;
    connect();
    BOOST_TEST(fresh->mesh.hasHolderWithLedger());
    const auto admitted = askHome(*fresh, {ProgramId("p"), kTeam, 1000, 400});
    BOOST_TEST_REQUIRE(admitted.has_value());
    BOOST_TEST((admitted.value() == turns::Admission::Admitted));
}

// Its spending could be counted from zero.
BOOST_AUTO_TEST_CASE(holderWithoutTheLedgerIsNoHome)
{
    strong = std::make_shared<MeshNode>(context, objects, "new-holder", 600);
    strong->keeper.setLoaded();
    connect();
    flushUntil([&] { return strong->mesh.isHolder(); });
    BOOST_TEST(!weak->mesh.hasHolderWithLedger());
    const turns::TurnBudget asked{ProgramId("p"), kTeam, 1000, 400};
    BOOST_TEST(!askHome(*weak, asked).has_value());
    BOOST_TEST(!askHome(*strong, asked).has_value());
}

// A holder that has just started has received a turn, but has not read the earlier turns of its
// chain.
BOOST_AUTO_TEST_CASE(turnWithAPartlyKnownChainIsNotReportedAsUnknown)
{
    connect();
    flushUntil([this] { return strong->mesh.isSubscribedToTurns() && !weak->mesh.isHolder(); });
    strong->state.turns().add(turn("t2", "t1"));
    const auto early = prompt(*weak, "t2");
    BOOST_TEST((!early && early.error().kind() == ErrorKind::Unavailable));
    middle->state.turns().add(turn("t1"));
    middle->state.turns().add(turn("t2", "t1"));
    const auto found = prompt(*weak, "t2");
    BOOST_TEST((found && found.value() == "inoutinoutnext"));
}

// After one failed commit at the writer, the object API must not count as unavailable forever:
// endpoint registrations that are removed would be kept.
BOOST_AUTO_TEST_CASE(successfulCommitClearsAnEarlierFailure)
{
    connect();
    flushUntil([this] { return strong->mesh.isSubscribedToTurns() && !weak->mesh.isHolder(); });
    strong->isCutFromStore = true;
    weak->state.budgets().claim(ProgramId("p"), MonotonicClock().now());
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> covered = co_await weak->keeper.cover(ProgramId("p"), 2s);
        BOOST_TEST(!covered.has_value());
    });
    BOOST_TEST(!weak->keeper.canPersist());
    strong->isCutFromStore = false;
    BOOST_TEST(keep(*weak, turn("t1")).has_value());
    BOOST_TEST((weak->keeper.storeFailingFor() == Duration::zero()));
    BOOST_TEST(weak->keeper.canPersist());
}

BOOST_AUTO_TEST_CASE(gatewayWritesTurnsItselfIfTheWriterFails)
{
    connect();
    strong->isCutFromStore = true;
    strong->mesh.close();
    flushUntil([this] { return weak->mesh.reachableCount() == 1; });
    BOOST_TEST(keep(*weak, turn("t1")).has_value());
    BOOST_TEST(weak->calls + middle->calls > 0);
}

// A list that lacks endpoints because the store was unavailable to its sender is not current.
BOOST_AUTO_TEST_CASE(listIsCurrentOnlyIfAGatewayThatWatchesTheStoreSeesNoOutage)
{
    connect();
    strong->mesh.setWatchingStore(true);
    flushUntil([this] { return weak->state.endpointsCurrentAt().has_value(); });
    // It keeps removed endpoints for the grace period.
    strong->state.noteStoreOutage(MonotonicClock().now());
    wait(20ms);
    flushUntil([flushes = 0]() mutable { return ++flushes > 20; });
    const auto current = weak->state.endpointsCurrentAt();
    flushUntil([flushes = 0]() mutable { return ++flushes > 20; });
    BOOST_TEST((weak->state.endpointsCurrentAt() == current));
    middle->mesh.setWatchingStore(true);
    flushUntil([&] { return weak->state.endpointsCurrentAt() > current; });
}

// What a list says of the time that is left, such as a grace period, counts from when it was made.
BOOST_AUTO_TEST_CASE(fetchedDocumentStatesItsAge)
{
    strong->mesh.publish({DocumentKind::Endpoints, 7, "list", {}});
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        asio::steady_timer pause(context, 200ms);
        (void)co_await pause.async_wait(kTuple);
    });
    connect();
    flushUntil([&] { return !weak->received.empty(); });
    BOOST_TEST((weak->received.front().age >= 199ms));
    BOOST_TEST((weak->received.front().age < 5s));
}

BOOST_AUTO_TEST_CASE(requestLimitsOfEndpointsReachGatewaysThatStartLate)
{
    fleet::Endpoint endpoint;
    endpoint.name = EndpointName("e");
    endpoint.startedAt = 5;
    const auto limitAt = [&](MeshNode &node) {
        return node.state.placement().limits().limitOf(endpoint).value_or(0);
    };
    connect();
    (void)strong->state.placement().limits().onAnswer(endpoint, 6.0, MonotonicClock().now());
    flushUntil([&] { return limitAt(*weak) == 6.0; });
    // Each of the three may send a third.
    BOOST_TEST(weak->state.placement().limits().shareOf(endpoint) == 2.0);
    const auto late = std::make_shared<MeshNode>(context, objects, "late", 90);
    late->keeper.setLoaded();
    const auto previous = std::exchange(middle, late);
    connect();
    flushUntil([&] { return limitAt(*late) == 6.0; });
    (void)weak->state.placement().limits().onAnswer(endpoint, std::nullopt, MonotonicClock().now());
    flushUntil([&] { return limitAt(*late) == 0 && limitAt(*strong) == 0; });
}

// A gateway that has just started does not know the spending, so it must not become the home of
// programs whose home was lost, nor admit their turns.
BOOST_AUTO_TEST_CASE(gatewayWithoutTheLedgerDoesNotBecomeHome)
{
    const auto fresh = std::make_shared<MeshNode>(context, objects, "fresh", 200);
    const Incarnation gone("gone-1");
    const MonotonicClock clock;
    for (const auto &node : {middle, weak}) {
        for (int i = 0; i < 32; ++i) {
            node->state.budgets().onJournalReport(
                gone, {ProgramId("p" + std::to_string(i)), kTeam, 900, 900}, clock.now());
        }
    }
    strong = fresh;
    connect();
    for (int i = 0; i < 32; ++i) {
        const turns::TurnBudget asked{ProgramId("p" + std::to_string(i)), kTeam, 1000, 200};
        BOOST_TEST((weak->state.budgets().admit(asked, clock.now()) == turns::Admission::Orphaned));
        const auto admission = askHome(*weak, asked);
        BOOST_TEST((!admission || admission.value() != turns::Admission::Admitted));
        BOOST_TEST(weak->state.budgets().home(asked.program) != fresh->mesh.member().incarnation);
    }
}

// Turns are sent only to the holder of a failure domain; the other gateways ask it.
BOOST_AUTO_TEST_CASE(turnIsFoundAtTheHolder)
{
    connect();
    flushUntil([this] { return strong->mesh.isSubscribedToTurns() && !weak->mesh.isHolder(); });
    BOOST_TEST(strong->mesh.isHolder());
    BOOST_TEST(!middle->mesh.isHolder());
    BOOST_TEST(middle->mesh.holderCount() == 1U);
    BOOST_TEST(keep(*middle, turn("t1")).has_value());
    BOOST_TEST(!weak->state.turns().contains(turns::TurnId("t1")));
    const auto found = prompt(*weak, "t1");
    BOOST_TEST((found && found.value() == "inoutnext"));
}

// A holder can state that a turn does not exist only after it has read the journals.
BOOST_AUTO_TEST_CASE(onlyAHolderThatHasReadTheJournalsReportsNotFound)
{
    connect();
    flushUntil([this] { return strong->mesh.isSubscribedToTurns() && !weak->mesh.isHolder(); });
    const auto early = prompt(*weak, "none");
    BOOST_TEST((!early && early.error().kind() == ErrorKind::Unavailable));
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        const Result<void> read = co_await strong->keeper.reader().loadTurns(
            [&] { return strong->mesh.runningGateways(); });
        BOOST_TEST(read.has_value());
    });
    const auto sure = prompt(*weak, "none");
    BOOST_TEST((!sure && sure.error().kind() == ErrorKind::NotFound));
    // Turns of a gateway that is no longer a member may exist only in its journal.
    strong->mesh.setMembers({weak->mesh.member()});
    strong->isCutFromStore = true;
    const auto unsure = prompt(*weak, "none");
    BOOST_TEST((!unsure && unsure.error().kind() == ErrorKind::Unavailable));
    strong->isCutFromStore = false;
    wait(600ms);
    const auto sureAgain = prompt(*weak, "none");
    BOOST_TEST((!sureAgain && sureAgain.error().kind() == ErrorKind::NotFound));
}

// A home is lost before it sent its last admissions to its peers; they exist only in its journal.
BOOST_AUTO_TEST_CASE(newHomeReadsTheJournalOfTheLostHome)
{
    const ProgramId program("p");
    const MonotonicClock clock;
    {
        MeshNode gone(context, objects, "gone", 500);
        gone.state.budgets().claim(program, clock.now());
        (void)gone.state.budgets().admit({program, kTeam, 1000, 900}, clock.now());
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            const Result<void> covered = co_await gone.keeper.cover(program, 2s);
            BOOST_TEST(covered.has_value());
        });
    }
    connect();
    for (const auto &node : {strong, middle, weak}) {
        node->keeper.reader().noteLostPeer(Incarnation("gone-1"), 0);
    }
    const turns::TurnBudget asked{program, kTeam, 1000, 200};
    Result<turns::Admission> admission = turns::Admission::Elsewhere;
    for (int i = 0; i < 3 && admission && admission.value() == turns::Admission::Elsewhere; ++i) {
        admission = weak->state.budgets().admit(asked, clock.now());
        if (admission.value() == turns::Admission::Orphaned) {
            admission = askHome(*weak, asked);
        }
    }
    BOOST_TEST((admission && admission.value() == turns::Admission::Exhausted));
}

BOOST_AUTO_TEST_CASE(homeMakesATurnDurableBeforeItAdmitsTheNext)
{
    connect();
    const MonotonicClock clock;
    const turns::TurnBudget asked{ProgramId("p"), kTeam, 1000, 100};
    middle->state.budgets().claim(asked.program, clock.now());
    BOOST_TEST((middle->state.budgets().admit(asked, clock.now()) == turns::Admission::Admitted));
    middle->mesh.flush();
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        asio::steady_timer pause(context);
        while (weak->state.budgets().home(asked.program).isEmpty()) {
            pause.expires_after(5ms);
            (void)co_await pause.async_wait(kTuple);
        }
    });
    const auto second = askHome(*weak, asked);
    BOOST_TEST((second && second.value() == turns::Admission::Admitted));
    // The record of the first turn is in the store before the second turn is admitted.
    MeshNode successor(context, objects, "successor", 500);
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        (void)co_await successor.keeper.reader().loadLedgers();
    });
    BOOST_TEST(successor.state.budgets().spent(ProgramId("p")) >= 100U);
}

// Two gateways that had lost each other both acted as the home of a program: each was connected to
// a third holder, and so read no journals.
BOOST_AUTO_TEST_CASE(holderThatIsNotConnectedMayBeTheHomeToo)
{
    const auto third = makeWriter();
    MeshNode rival(context, objects, "rival", 300, "c");
    rival.keeper.setLoaded();
    rival.keeper.setLedgerKnown();
    Member unreachable = rival.mesh.member();
    unreachable.address.port = 1;
    strong->mesh.setMembers({third->mesh.member(), unreachable});
    third->mesh.setMembers({strong->mesh.member(), unreachable});
    runCoroutine(context, [&]() -> asio::awaitable<void> {
        asio::steady_timer pause(context);
        while (strong->mesh.reachableCount() + third->mesh.reachableCount() < 2) {
            pause.expires_after(5ms);
            (void)co_await pause.async_wait(kTuple);
        }
    });
    rival.mesh.flush();
    for (const auto &node : {strong, third}) {
        node->mesh.flush();
    }
    const turns::TurnBudget asked{ProgramId("p"), kTeam, 1000, 400};
    strong->state.budgets().claim(asked.program, MonotonicClock().now());
    rival.state.budgets().claim(asked.program, MonotonicClock().now());
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST((admit(rival, asked).value() == turns::Admission::Admitted));
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            const Result<void> covered = co_await rival.keeper.cover(asked.program, 2s);
            BOOST_TEST(covered.has_value());
        });
    }
    BOOST_TEST((admit(*strong, asked).value() == turns::Admission::Exhausted));
    // Also for a turn of a peer.
    strong->mesh.flush();
    wait(50ms);
    BOOST_TEST((askHome(*third, asked).value() == turns::Admission::Exhausted));
}

BOOST_AUTO_TEST_SUITE_END()
