// Decides which calls an agent runs: each at most once, for the newest owner, in queue order.
//
//     Registry<schedule::FairQueue> registry(incarnation, limits, std::move(queue));
//     for (const Action &action : registry.dispatch(stream, dispatch, now)) { ... }
//     ...
//     registry.onFinished(callId, answer, tokens, now);   // may start the next call
//
// Rules:
// - A call runs only if it names the incarnation of this agent and no higher epoch of its shard was
//   seen.
// - A call id starts at most once.
// - A dispatch of a newer epoch stops the calls of older epochs of the same program.
// - The outcome of a non-idempotent call is kept until another call or the release of its program
//   shows that the owner has recorded it. If no further outcome can be kept, non-idempotent calls
//   are refused.
// - Therefore NeverRun is reported only for calls that have not run, and such a call is refused
//   from then on.
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/dispatch/action.h"
#include "basilhall/dispatch/call_records.h"
#include "basilhall/dispatch/registry_limits.h"
#include "basilhall/dispatch/shard_epochs.h"
#include "basilhall/schedule/call_queue.h"

#include <set>
#include <utility>

namespace basilhall::dispatch
{

// Not thread-safe.
template<schedule::CallQueue Queue>
class Registry
{
public:
    Registry(Incarnation incarnation, const RegistryLimits &limits, Queue queue);

    // A dispatch arrived on `stream`.
    Actions dispatch(StreamNumber stream, const Dispatch &dispatch, Instant now);
    // No client waits on `stream` any more. Its call is refused if it is queued, and stopped if it
    // is running and idempotent. A running non-idempotent call continues, so that its outcome can
    // be resolved.
    Actions onAbandoned(StreamNumber stream);
    // A started call ended. `servedTokens` corrects the estimate of the queue.
    Actions onFinished(const CallId &callId, const Result<wire::Answer> &result,
                       std::uint64_t servedTokens, Instant now);
    // Refuses the queued calls whose deadline has passed.
    Actions expire(Instant now);

    // Returns the state of a call. NeverRun is final: the call is refused afterwards.
    Resolution resolve(const CallId &callId, const Incarnation &agentIncarnation,
                       std::uint32_t shard, std::uint64_t epoch);
    // The program ended or is no longer held by this agent. Returns false if `epoch` is stale.
    bool release(const ProgramId &program, std::uint32_t shard, std::uint64_t epoch);

    // Refuses queued calls and, from now on, new ones. Running calls continue.
    Actions drain();
    bool isDraining() const { return m_draining; }

    // Returns the dispatch of a queued or running call, or nullptr.
    const Dispatch *find(const CallId &callId) const;
    // Returns true if a call of the program is queued or running.
    bool hasLiveCall(const ProgramId &program) const { return m_byProgram.contains(program); }

    std::size_t running() const { return m_running; }
    std::size_t queued() const { return m_queue.size(); }
    std::uint64_t queuedTokens() const { return m_queue.queuedTokens(); }

private:
    // A call that is queued or running.
    struct LiveCall {
        Dispatch dispatch;
        // Empty once the stream was abandoned.
        std::optional<StreamNumber> stream;
        bool isRunning = false;
        bool isCancelled = false;
    };
    using LiveCalls = std::unordered_map<CallId, LiveCall>;

    std::optional<Error> refusal(const Dispatch &dispatch) const;
    // Answers a duplicate dispatch of a known call.
    Actions answerDuplicate(StreamNumber stream, const CallId &callId) const;
    void stopOlderEpochs(const Dispatch &dispatch, Actions &actions);
    void startNext(Instant now, Actions &actions);
    // Refuses a queued call and records that it never runs.
    void refuse(typename LiveCalls::iterator live, const Error &error, Actions &actions);
    void removeLive(typename LiveCalls::iterator live);
    Error overloaded(std::string_view reason) const;
    Error draining() const;

    const Incarnation m_incarnation;
    const RegistryLimits m_limits;
    Queue m_queue;
    ShardEpochs m_epochs;
    CallRecords m_records;
    LiveCalls m_liveCalls;
    std::unordered_map<StreamNumber, CallId> m_streams;
    std::unordered_map<ProgramId, std::unordered_set<CallId>> m_byProgram;
    std::set<std::pair<Instant, CallId>> m_deadlines;
    std::size_t m_running = 0;
    std::size_t m_liveNonIdempotent = 0;
    bool m_draining = false;
};

} // namespace basilhall::dispatch

#include "basilhall/dispatch/internal/registry_impl.h"
