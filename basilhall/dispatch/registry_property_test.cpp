#include "basilhall/dispatch/registry.h"

#include "basilhall/schedule/fifo_queue.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <rapidcheck.h>

using namespace basilhall;
using namespace basilhall::dispatch;

namespace
{

constexpr const char *kRapidCheckParams = "seed=20261203 max_success=400 max_size=200";
constexpr int kCalls = 12;
constexpr int kPrograms = 4;
constexpr std::uint64_t kEpochs = 4;

// Simulates an agent that restarts and receives duplicated, late and reordered messages. Records
// the actions of all its incarnations, to check that a call starts at most once.
class SimulatedAgent
{
public:
    explicit SimulatedAgent(std::size_t maxRecords)
        : m_maxRecords(maxRecords)
    {
        restart();
    }

    void step()
    {
        const int kind = *rc::gen::weightedElement<int>(
            {{12, 0}, {6, 1}, {3, 2}, {3, 3}, {2, 4}, {1, 5}, {2, 6}});
        if (kind == 0) {
            dispatchOne();
        } else if (kind == 1) {
            finishOne();
        } else if (kind == 2) {
            perform(m_registry->onAbandoned(*rc::gen::inRange<StreamNumber>(1, m_lastStream + 2)));
        } else if (kind == 3) {
            resolveOne();
        } else if (kind == 4) {
            (void)m_registry->release(pickProgram(), 0, pickEpoch());
        } else if (kind == 5) {
            restart();
        } else {
            m_now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
            perform(m_registry->expire(m_now));
        }
        RC_ASSERT(m_registry->running() <= kCapacity);
    }

private:
    static constexpr std::size_t kCapacity = 2;

    struct Call {
        Dispatch dispatch;
        int starts = 0;
        bool isRunning = false;
        bool isRefused = false;
        std::optional<std::string> answer;
    };

    static ProgramId pickProgram()
    {
        return ProgramId(std::to_string(*rc::gen::inRange(0, kPrograms)));
    }
    static std::uint64_t pickEpoch() { return *rc::gen::inRange<std::uint64_t>(1, kEpochs + 1); }

    void restart()
    {
        m_incarnation = Incarnation(std::to_string(++m_restarts));
        RegistryLimits limits;
        limits.capacity = kCapacity;
        limits.maxQueued = 1;
        limits.maxRecords = m_maxRecords;
        m_registry = std::make_unique<Registry<schedule::FifoQueue>>(m_incarnation, limits,
                                                                     schedule::FifoQueue());
        m_highestEpoch = 0;
        m_neverRun.clear();
        for (auto &[id, call] : m_calls) {
            call.isRunning = false;
        }
    }

    // Dispatches a new call, or an earlier one again with the same dispatch.
    void dispatchOne()
    {
        const CallId callId(std::to_string(*rc::gen::inRange(0, kCalls)));
        auto found = m_calls.find(callId);
        if (found == m_calls.end()) {
            Dispatch dispatch;
            dispatch.item.callId = callId;
            dispatch.item.program = pickProgram();
            dispatch.item.deadline = m_now + std::chrono::seconds(2);
            dispatch.epoch = pickEpoch();
            dispatch.agentIncarnation = m_incarnation;
            dispatch.idempotent = *rc::gen::arbitrary<bool>();
            found = m_calls.emplace(callId, Call{dispatch, 0, false, false, {}}).first;
        }
        const Dispatch dispatch = found->second.dispatch;
        m_callOfStream[++m_lastStream] = callId;
        const bool isStale = dispatch.epoch < m_highestEpoch;
        const int before = found->second.starts;
        if (dispatch.agentIncarnation == m_incarnation) {
            m_highestEpoch = std::max(m_highestEpoch, dispatch.epoch);
        }
        perform(m_registry->dispatch(m_lastStream, dispatch, m_now));
        RC_ASSERT(!isStale || found->second.starts == before);
    }

    void finishOne()
    {
        for (auto &[id, call] : m_calls) {
            if (call.isRunning) {
                call.isRunning = false;
                call.answer = "answer " + id.value();
                wire::Answer answer;
                answer.set_body(*call.answer);
                perform(m_registry->onFinished(id, answer, 0, m_now));
                return;
            }
        }
    }

    void resolveOne()
    {
        const CallId callId(std::to_string(*rc::gen::inRange(0, kCalls)));
        const std::uint64_t epoch = pickEpoch();
        const Resolution resolution = m_registry->resolve(callId, m_incarnation, 0, epoch);
        m_highestEpoch = std::max(m_highestEpoch, epoch);
        const auto found = m_calls.find(callId);
        if (resolution.state == CallState::NeverRun) {
            if (found == m_calls.end()) {
                m_neverRun.insert(callId);
                return;
            }
            RC_ASSERT(found->second.starts == 0
                      || found->second.dispatch.agentIncarnation != m_incarnation);
            found->second.isRefused = true;
        } else if (resolution.state == CallState::Done) {
            RC_ASSERT(found != m_calls.end());
            RC_ASSERT(found->second.answer == resolution.answer->body());
        }
    }

    void perform(const Actions &actions)
    {
        for (const Action &action : actions) {
            if (const auto *start = std::get_if<Start>(&action)) {
                Call &call = m_calls.at(start->callId);
                ++call.starts;
                call.isRunning = true;
                RC_ASSERT(call.starts == 1);
                RC_ASSERT(!call.isRefused);
                RC_ASSERT(call.dispatch.agentIncarnation == m_incarnation);
                RC_ASSERT(!m_neverRun.contains(start->callId));
            } else if (const auto *refuse = std::get_if<Refuse>(&action)) {
                recordRefusal(*refuse);
            }
        }
    }

    void recordRefusal(const Refuse &refuse)
    {
        Call &call = m_calls.at(m_callOfStream.at(refuse.stream));
        const bool isCurrent = call.dispatch.agentIncarnation == m_incarnation;
        if (refuse.error.notRun() && isCurrent) {
            RC_ASSERT(call.starts == 0);
            call.isRefused = true;
        }
    }

    const std::size_t m_maxRecords;
    std::unique_ptr<Registry<schedule::FifoQueue>> m_registry;
    Incarnation m_incarnation;
    int m_restarts = 0;
    Instant m_now{std::chrono::seconds(1)};
    StreamNumber m_lastStream = 0;
    std::uint64_t m_highestEpoch = 0;
    std::map<CallId, Call> m_calls;
    std::map<StreamNumber, CallId> m_callOfStream;
    std::set<CallId> m_neverRun;
};

} // namespace

BOOST_AUTO_TEST_SUITE(dispatch_property)

BOOST_AUTO_TEST_CASE(callsStartAtMostOnceAndNotAfterNeverWasReported)
{
    ::setenv("RC_PARAMS", kRapidCheckParams, 0);
    BOOST_TEST(rc::check("a call starts at most once", [] {
        SimulatedAgent agent(2 * kCalls);
        const int steps = *rc::gen::inRange(1, 120);
        for (int i = 0; i < steps; ++i) {
            agent.step();
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
