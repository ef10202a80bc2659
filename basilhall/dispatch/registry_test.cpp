#include "basilhall/dispatch/registry.h"

#include "basilhall/schedule/fifo_queue.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::dispatch;
using namespace std::chrono_literals;

namespace
{

struct Fixture {
    const Incarnation self{"a1"};
    Registry<schedule::FifoQueue> registry{self, limits(), schedule::FifoQueue()};
    const Instant now{1s};

    static RegistryLimits limits()
    {
        RegistryLimits limits;
        limits.capacity = 1;
        limits.maxQueued = 2;
        limits.maxRecords = 4;
        return limits;
    }

    Dispatch call(const std::string &callId, const std::string &program, std::uint64_t epoch = 1)
    {
        Dispatch dispatch;
        dispatch.item.callId = CallId(callId);
        dispatch.item.program = ProgramId(program);
        dispatch.epoch = epoch;
        dispatch.agentIncarnation = self;
        return dispatch;
    }

    static wire::Answer answer(const std::string &body)
    {
        wire::Answer answer;
        answer.set_body(body);
        return answer;
    }

    static bool starts(const Actions &actions, const std::string &callId)
    {
        return std::any_of(actions.begin(), actions.end(), [&](const Action &action) {
            const auto *start = std::get_if<Start>(&action);
            return start != nullptr && start->callId == CallId(callId);
        });
    }

    static std::optional<Error> refusal(const Actions &actions, StreamNumber stream)
    {
        for (const Action &action : actions) {
            const auto *refuse = std::get_if<Refuse>(&action);
            if (refuse != nullptr && refuse->stream == stream) {
                return refuse->error;
            }
        }
        return std::nullopt;
    }

    CallState stateOf(const std::string &callId, std::uint64_t epoch = 1)
    {
        return registry.resolve(CallId(callId), self, 0, epoch).state;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(dispatch_registry, Fixture)

BOOST_AUTO_TEST_CASE(aCallRunsOnceAndADuplicateGetsTheRecordedAnswer)
{
    BOOST_TEST(starts(registry.dispatch(1, call("c", "p"), now), "c"));
    const auto second = refusal(registry.dispatch(2, call("c", "p"), now), 2);
    BOOST_TEST_REQUIRE(second.has_value());
    BOOST_TEST(!second->notRun());
    BOOST_TEST((stateOf("c") == CallState::Running));
    registry.onFinished(CallId("c"), answer("x"), 0, now);
    const Actions third = registry.dispatch(3, call("c", "p"), now);
    BOOST_TEST(std::get<Replay>(third.at(0)).answer.body() == "x");
    BOOST_TEST((stateOf("c") == CallState::Done));
}

BOOST_AUTO_TEST_CASE(dispatchesForOtherIncarnationsOrOfOlderEpochsAreRefusedAsNotRun)
{
    Dispatch other = call("c", "p");
    other.agentIncarnation = Incarnation("a0");
    BOOST_TEST(refusal(registry.dispatch(1, other, now), 1).value().notRun());
    BOOST_TEST((stateOf("d", 5) == CallState::NeverRun));
    const Error stale = refusal(registry.dispatch(2, call("e", "p", 4), now), 2).value();
    BOOST_TEST((stale.kind() == ErrorKind::StaleEpoch));
    BOOST_TEST(stale.notRun());
    BOOST_TEST(starts(registry.dispatch(3, call("f", "p", 5), now), "f"));
}

BOOST_AUTO_TEST_CASE(aCallReportedAsNeverIsRefused)
{
    BOOST_TEST((stateOf("c") == CallState::NeverRun));
    const Actions actions = registry.dispatch(1, call("c", "p"), now);
    BOOST_TEST(refusal(actions, 1).value().notRun());
    BOOST_TEST(registry.running() == 0U);
}

BOOST_AUTO_TEST_CASE(aNewerEpochStopsCallsOfOlderEpochs)
{
    (void)registry.dispatch(1, call("running", "p"), now);
    (void)registry.dispatch(2, call("queued", "p"), now);
    (void)registry.dispatch(3, call("other", "q"), now);
    const Actions actions = registry.dispatch(4, call("new", "p", 2), now);
    BOOST_TEST(refusal(actions, 2).value().notRun());
    BOOST_TEST((std::get_if<Cancel>(&actions.front()) || std::get_if<Cancel>(&actions.back())));
    const Actions next =
        registry.onFinished(CallId("running"), Error(ErrorKind::OutcomeUnknown, "stopped"), 0, now);
    BOOST_TEST((stateOf("running", 2) == CallState::Unknown));
    // The call of the other program was sent by the same superseded owner.
    BOOST_TEST((refusal(next, 3).value().kind() == ErrorKind::StaleEpoch));
    BOOST_TEST(starts(next, "new"));
}

BOOST_AUTO_TEST_CASE(anAbandonedCallIsRefusedStoppedOrContinues)
{
    Dispatch model = call("model", "p");
    model.idempotent = true;
    (void)registry.dispatch(1, model, now);
    (void)registry.dispatch(2, call("queued", "q"), now);
    (void)registry.onAbandoned(2);
    BOOST_TEST((stateOf("queued") == CallState::NeverRun));
    BOOST_TEST((std::get_if<Cancel>(&registry.onAbandoned(1).at(0)) != nullptr));
    registry.onFinished(CallId("model"), Error(ErrorKind::Cancelled, "x"), 0, now);
    (void)registry.dispatch(3, call("booking", "r"), now);
    BOOST_TEST(registry.onAbandoned(3).empty());
    registry.onFinished(CallId("booking"), answer("booked"), 0, now);
    BOOST_TEST((stateOf("booking") == CallState::Done));
}

BOOST_AUTO_TEST_CASE(outcomesAreKeptUntilAcknowledged)
{
    for (const std::string id : {"1", "2", "3", "4"}) {
        (void)registry.dispatch(1, call(id, "p" + id), now);
        registry.onFinished(CallId(id), answer(id), 0, now);
    }
    const Error full = refusal(registry.dispatch(2, call("5", "p5"), now), 2).value();
    BOOST_TEST((full.kind() == ErrorKind::Overloaded));
    BOOST_TEST((full.notRun() && full.retryAfter()));
    BOOST_TEST((stateOf("1") == CallState::Done));
    BOOST_TEST(registry.release(ProgramId("p1"), 0, 1));
    BOOST_TEST(starts(registry.dispatch(3, call("6", "p6"), now), "6"));
    BOOST_TEST((stateOf("2") == CallState::Done));
}

BOOST_AUTO_TEST_CASE(expiredAndDrainedCallsAreRefusedAsNotRun)
{
    (void)registry.dispatch(1, call("running", "p"), now);
    Dispatch late = call("late", "q");
    late.item.deadline = now + 1s;
    (void)registry.dispatch(2, late, now);
    BOOST_TEST(registry.expire(now).empty());
    const Error passed = refusal(registry.expire(now + 1s), 2).value();
    BOOST_TEST((passed.kind() == ErrorKind::DeadlineExceeded));
    BOOST_TEST(passed.notRun());
    registry.drain();
    const Error draining = refusal(registry.dispatch(3, call("new", "q"), now), 3).value();
    BOOST_TEST((draining.kind() == ErrorKind::Draining));
    BOOST_TEST(draining.notRun());
}

BOOST_AUTO_TEST_SUITE_END()
