#include "basilhall/owner/owner.h"

#include "basilhall/owner/owner_test_harness.h"
#include "basilhall/ownership/snapshot.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::owner;

namespace
{

struct Fixture {
    Fixture() { BOOST_TEST(host.owner.acquireShard(0, 1, {}, host.now).has_value()); }

    ErrorKind errorKind(CallTicket ticket) const { return host.errors.at(ticket).kind(); }

    store::MemoryStore objects;
    OwnerHarness host{objects};
};

const Error kConnectionLost(ErrorKind::ConnectionLost, "connection lost");

} // namespace

BOOST_FIXTURE_TEST_SUITE(owner_calls, Fixture)

BOOST_AUTO_TEST_CASE(answerIsSentOnceTheTurnIsDurable)
{
    host.call(1, "p", "c1");
    BOOST_TEST(host.dispatches.empty(), "the opening must be durable before the dispatch");
    host.processPending();
    BOOST_REQUIRE_EQUAL(host.dispatches.size(), 1);
    host.answerDispatch(10);
    BOOST_TEST(host.finishedCalls.empty(),
               "the turn must be durable before the caller gets its answer");
    host.processPending();
    BOOST_TEST(host.finishedCalls.at(1).turn() == 1);
}

BOOST_AUTO_TEST_CASE(callsOfAProgramRunInOrder)
{
    host.call(2, "p", "c2", 2);
    host.call(1, "p", "c1", 1);
    host.call(3, "p", "c3", 3);
    for (int turn = 1; turn <= 3; ++turn) {
        host.processPending();
        BOOST_REQUIRE_EQUAL(host.dispatches.size(), 1);
        host.answerDispatch(1);
        host.processPending();
        BOOST_TEST(host.finishedCalls.at(turn).turn() == turn);
    }
    const std::string history = host.owner.programs().find(ProgramId("p"))->messages();
    BOOST_TEST(history.find("c1") < history.find("c2"));
    BOOST_TEST(history.find("c2") < history.find("c3"));
}

BOOST_AUTO_TEST_CASE(retryGetsTheRecordedAnswerAndAnotherBodyIsRefused)
{
    host.call(1, "p", "c1");
    host.processPending();
    host.call(2, "p", "c1");
    host.answerDispatch(10);
    host.processPending();
    host.call(3, "p", "c1");
    BOOST_TEST(host.dispatches.empty());
    BOOST_TEST(host.finishedCalls.at(2).turn() == 1);
    BOOST_TEST(host.finishedCalls.at(3).replayed());
    wire::CallRequest other = OwnerHarness::modelCall("p", "c1", 0);
    other.set_body(R"({"model":"m","messages":[{"role":"user","content":"x"}]})");
    host.owner.callArrived(4, other, host.now);
    host.collectActions();
    BOOST_TEST((errorKind(4) == ErrorKind::Conflict));
}

BOOST_AUTO_TEST_CASE(budgetIsNeverExceeded)
{
    std::uint64_t spent = 0;
    CallTicket ticket = 0;
    while (!host.errors.contains(ticket)) {
        ++ticket;
        const std::string program = ticket % 2 == 0 ? "p.child" : "p";
        host.call(ticket, program, "c" + std::to_string(ticket));
        host.processPending();
        if (!host.dispatches.empty()) {
            const std::uint64_t allowed = host.dispatches.front().request.max_completion_tokens();
            spent += allowed;
            host.answerDispatch(allowed);
            host.processPending();
        }
    }
    BOOST_TEST((errorKind(ticket) == ErrorKind::BudgetExceeded));
    BOOST_TEST(host.errors.at(ticket).notRun());
    BOOST_TEST(spent == 1000);
}

BOOST_AUTO_TEST_CASE(anotherTeamCannotUseTheProgram)
{
    host.call(1, "p", "c1");
    wire::CallRequest request = OwnerHarness::modelCall("p", "c2", 0);
    request.set_team("bakers");
    host.processPending();
    host.owner.callArrived(2, request, host.now);
    host.collectActions();
    BOOST_TEST((errorKind(2) == ErrorKind::Forbidden));
    wire::ProgramRequest query;
    query.set_program_id("p");
    query.set_team("bakers");
    BOOST_TEST((host.owner.programHistory(query).error().kind() == ErrorKind::NotFound));
}

BOOST_AUTO_TEST_CASE(interruptedModelCallIsRetriedAndNeverMarkedNotRun)
{
    host.call(1, "p", "c1");
    host.processPending();
    host.failDispatch(kConnectionLost);
    host.processPending();
    BOOST_REQUIRE_EQUAL(host.dispatches.size(), 1);
    host.noEndpoint = true;
    host.failDispatch(Error(ErrorKind::Draining, "draining").withNotRun());
    BOOST_TEST(!host.errors.at(1).notRun(), "the first attempt may have run");
    BOOST_TEST(host.owner.programs().accountOf(ProgramId("p"))->spent() == 40);
}

BOOST_AUTO_TEST_CASE(interruptedNonIdempotentCallIsResolvedAndNotRepeated)
{
    host.serviceCall(1, "p", "c1");
    host.processPending();
    BOOST_REQUIRE_EQUAL(host.dispatches.size(), 1);
    host.failDispatch(kConnectionLost);
    BOOST_TEST(host.dispatches.empty());
    BOOST_REQUIRE_EQUAL(host.resolves.size(), 1);
    host.answerResolve(wire::ResolveReply::STATE_RUNNING);
    host.processPending();
    host.processPending();
    host.processPending();
    BOOST_REQUIRE(!host.resolves.empty());
    host.answerResolve(wire::ResolveReply::STATE_DONE);
    host.processPending();
    BOOST_TEST(host.finishedCalls.at(1).answer().body() == "\"sent\"");
}

BOOST_AUTO_TEST_CASE(restartedAgentLeavesTheOutcomeUnknown)
{
    host.serviceCall(1, "p", "c1");
    host.processPending();
    host.failDispatch(kConnectionLost);
    host.answerResolve(wire::ResolveReply::STATE_OTHER_INCARNATION);
    host.processPending();
    BOOST_TEST((errorKind(1) == ErrorKind::OutcomeUnknown));
    BOOST_TEST(!host.errors.at(1).notRun());
    host.serviceCall(2, "p", "c1");
    host.processPending();
    BOOST_TEST(host.dispatches.empty(), "a retry must not run the call");
    BOOST_TEST((errorKind(2) == ErrorKind::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(callThatNeedsAWriteIsRefusedDuringAnOutage)
{
    host.storeIsDown = true;
    host.serviceCall(1, "p", "c1");
    for (int i = 0; i < 30 && host.errors.empty(); ++i) {
        host.processPending();
    }
    BOOST_TEST((errorKind(1) == ErrorKind::StoreUnavailable));
    BOOST_TEST(host.errors.at(1).notRun());
    BOOST_TEST(host.errors.at(1).retryAfter().has_value());
    host.storeIsDown = false;
    for (int i = 0; i < 30; ++i) {
        host.processPending();
    }
    BOOST_TEST(host.dispatches.empty(), "a call refused as not run must not run later");
}

BOOST_AUTO_TEST_CASE(endedProgramFreesItsMemoryAndRefusesCalls)
{
    host.call(1, "p", "c1");
    host.processPending();
    host.answerDispatch(10);
    host.processPending();
    wire::ProgramRequest request;
    request.set_program_id("p");
    request.set_team("haulers");
    BOOST_TEST(host.owner.endProgram(request, host.now).has_value());
    host.collectActions();
    BOOST_TEST(host.released == std::vector<std::string>{"p"});
    host.call(2, "p", "c2");
    BOOST_TEST((errorKind(2) == ErrorKind::ProgramEnded));
}

BOOST_AUTO_TEST_CASE(endingAProgramAnswersTheCallThatWaitsForItsIntent)
{
    host.call(1, "p", "c1");
    host.processPending();
    host.answerDispatch(10);
    host.processPending();
    host.serviceCall(2, "p", "c2");
    wire::ProgramRequest request;
    request.set_program_id("p");
    request.set_team("haulers");
    BOOST_TEST(host.owner.endProgram(request, host.now).has_value());
    host.processPending();
    BOOST_TEST(host.dispatches.empty());
    BOOST_REQUIRE(host.errors.contains(2));
    BOOST_TEST((errorKind(2) == ErrorKind::ProgramEnded));
    BOOST_TEST(host.errors.at(2).notRun());
}

BOOST_AUTO_TEST_CASE(callIsNotRunIfItsCallerDisconnectsBeforeTheDispatch)
{
    host.call(1, "p", "c1");
    host.owner.callerGone(1, host.now);
    host.processPending();
    BOOST_TEST(host.dispatches.empty());
    BOOST_TEST(host.errors.at(1).notRun());
}

BOOST_AUTO_TEST_CASE(everyTicketGetsExactlyOneFinalReply)
{
    host.call(1, "p", "c1");
    host.processPending();
    host.call(2, "p", "c1");
    host.call(3, "p", "c3");
    host.owner.callerGone(1, host.now);
    host.collectActions();
    host.now += std::chrono::minutes(11);
    host.owner.advance(host.now);
    host.collectActions();
    host.answerDispatch(1);
    host.processPending();
    BOOST_TEST(host.replies.size() == 3);
    for (const auto &[ticket, count] : host.replies) {
        BOOST_TEST(count == 1, ticket);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(owner_takeover, Fixture)

BOOST_AUTO_TEST_CASE(successorKeepsHistoryAndResolvesOpenIntents)
{
    host.call(1, "p", "c1");
    host.processPending();
    host.answerDispatch(10);
    host.processPending();
    host.serviceCall(2, "p", "c2");
    host.processPending();
    const std::vector<journal::Record> records = host.journalRecords();
    OwnerHarness successor(objects, "b");
    BOOST_TEST(successor.owner.acquireShard(0, 2, records, successor.now).has_value());
    successor.owner.advance(successor.now);
    successor.collectActions();
    BOOST_REQUIRE_EQUAL(successor.resolves.size(), 1);
    BOOST_TEST(successor.resolves.front().request.agent_incarnation() == "agent-1");
    successor.serviceCall(1, "p", "c2");
    successor.answerResolve(wire::ResolveReply::STATE_NEVER);
    successor.processPending();
    BOOST_REQUIRE_EQUAL(successor.dispatches.size(), 1);
    BOOST_TEST(successor.dispatches.front().request.call_id()
               != host.dispatches.front().request.call_id());
    BOOST_TEST(successor.owner.programs().find(ProgramId("p"))->nextTurn() == 2);
}

BOOST_AUTO_TEST_CASE(dropShardMarksOnlyUndispatchedCallsNotRun)
{
    host.call(1, "p", "c1");
    host.processPending();
    host.call(2, "q", "c2");
    host.owner.dropShard(0);
    host.collectActions();
    BOOST_TEST(!host.errors.at(1).notRun());
    BOOST_TEST(host.errors.at(2).notRun());
    BOOST_TEST(host.cancelled.size() == 1);
}

BOOST_AUTO_TEST_CASE(handoverLetsTheCallInProgressFinish)
{
    host.call(1, "p", "c1");
    host.processPending();
    host.call(2, "p", "c2");
    host.owner.beginRelease(0, host.now);
    host.collectActions();
    BOOST_TEST(host.errors.at(2).notRun());
    BOOST_TEST(!host.owner.isIdle(0));
    host.answerDispatch(5);
    host.processPending();
    BOOST_TEST(host.finishedCalls.contains(1));
    BOOST_TEST(host.owner.isIdle(0));
}

BOOST_AUTO_TEST_CASE(checkpointKeepsTheBudget)
{
    host.call(1, "p", "c1");
    host.processPending();
    host.answerDispatch(25);
    host.processPending();
    program::ProgramTable rebuilt;
    for (const journal::Record &whole : host.owner.programs().snapshot(0)) {
        for (const journal::Record &part :
             ownership::splitSnapshot(0, whole.epoch(), whole.program_snapshot())) {
            BOOST_TEST(rebuilt.apply(part).has_value());
        }
    }
    BOOST_TEST(
        (*rebuilt.accountOf(ProgramId("p")) == *host.owner.programs().accountOf(ProgramId("p"))));
}

BOOST_AUTO_TEST_CASE(handoverFreesReservations)
{
    host.call(1, "p", "c1");
    host.processPending();
    host.answerDispatch(5);
    host.processPending();
    BOOST_TEST(host.owner.programs().accountOf(ProgramId("p"))->reserved() == 40);
    host.owner.beginRelease(0, host.now);
    host.processPending();
    OwnerHarness successor(objects, "b");
    BOOST_TEST(
        successor.owner.acquireShard(0, 2, host.journalRecords(), successor.now).has_value());
    BOOST_TEST(successor.owner.programs().accountOf(ProgramId("p"))->spent() == 5);
}

BOOST_AUTO_TEST_SUITE_END()
