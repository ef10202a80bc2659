// Member functions of Registry.
#pragma once

#include "basilhall/dispatch/registry.h"

namespace basilhall::dispatch
{

template<schedule::CallQueue Queue>
Registry<Queue>::Registry(Incarnation incarnation, const RegistryLimits &limits, Queue queue)
    : m_incarnation(std::move(incarnation))
    , m_limits(limits)
    , m_queue(std::move(queue))
    , m_records(limits.maxRecords, limits.maxAnswerBytes)
{
}

template<schedule::CallQueue Queue>
Actions Registry<Queue>::dispatch(StreamNumber stream, const Dispatch &dispatch, Instant now)
{
    const CallId &callId = dispatch.item.callId;
    if (dispatch.agentIncarnation != m_incarnation) {
        // The transport delivers a dispatch at most once, so no earlier incarnation received it.
        const Error other(ErrorKind::StaleEpoch,
                          "dispatch is addressed to another incarnation of the agent");
        return {Refuse{stream, other.withNotRun()}};
    }
    m_epochs.observe(dispatch.shard, dispatch.epoch);
    if (m_liveCalls.contains(callId) || m_records.find(callId) != nullptr) {
        return answerDuplicate(stream, callId);
    }
    Actions actions;
    stopOlderEpochs(dispatch, actions);
    if (const auto error = refusal(dispatch)) {
        // A later duplicate must not run either.
        m_records.addNeverRun(callId);
        actions.emplace_back(Refuse{stream, *error});
        return actions;
    }
    m_records.acknowledge(dispatch.item.program);
    m_queue.push(dispatch.item);
    m_liveCalls.emplace(callId, LiveCall{dispatch, stream, false, false});
    m_streams.emplace(stream, callId);
    m_byProgram[dispatch.item.program].insert(callId);
    m_deadlines.emplace(dispatch.item.deadline, callId);
    m_liveNonIdempotent += dispatch.idempotent ? 0 : 1;
    startNext(now, actions);
    return actions;
}

template<schedule::CallQueue Queue>
std::optional<Error> Registry<Queue>::refusal(const Dispatch &dispatch) const
{
    if (!m_epochs.isCurrent(dispatch.shard, dispatch.epoch)) {
        return Error(ErrorKind::StaleEpoch,
                     "shard " + std::to_string(dispatch.shard) + " has a newer owner")
            .withNotRun();
    }
    if (m_draining) {
        return draining();
    }
    if (m_queue.size() >= m_limits.maxQueued) {
        return overloaded("queue of the endpoint is full");
    }
    if (!dispatch.idempotent && !m_records.canKeepOutcome(m_liveNonIdempotent)) {
        return overloaded("agent cannot keep the outcome of another non-idempotent call");
    }
    return std::nullopt;
}

template<schedule::CallQueue Queue>
Actions Registry<Queue>::answerDuplicate(StreamNumber stream, const CallId &callId) const
{
    const Resolution *record = m_records.find(callId);
    if (record == nullptr) {
        return {Refuse{stream, Error(ErrorKind::Conflict, "call is already queued or running")}};
    }
    if (record->state == CallState::Done) {
        return {Replay{stream, *record->answer}};
    }
    if (record->state == CallState::NeverRun) {
        const Error refused(ErrorKind::Conflict, "call was already refused");
        return {Refuse{stream, refused.withNotRun()}};
    }
    return {Refuse{
        stream,
        Error(ErrorKind::OutcomeUnknown, "call has already run and its answer is not kept")}};
}

template<schedule::CallQueue Queue>
void Registry<Queue>::stopOlderEpochs(const Dispatch &dispatch, Actions &actions)
{
    const auto found = m_byProgram.find(dispatch.item.program);
    if (found == m_byProgram.end()) {
        return;
    }
    const std::vector<CallId> calls(found->second.begin(), found->second.end());
    for (const CallId &callId : calls) {
        const auto live = m_liveCalls.find(callId);
        if (live->second.dispatch.epoch >= dispatch.epoch) {
            continue;
        }
        if (live->second.isRunning) {
            if (!std::exchange(live->second.isCancelled, true)) {
                actions.emplace_back(Cancel{callId});
            }
        } else {
            const Error stale(ErrorKind::StaleEpoch, "program has a newer owner");
            m_queue.remove(callId);
            refuse(live, stale.withNotRun(), actions);
        }
    }
}

template<schedule::CallQueue Queue>
void Registry<Queue>::startNext(Instant now, Actions &actions)
{
    while (m_running < m_limits.capacity) {
        const std::optional<schedule::QueuedCall> next = m_queue.pop(now);
        if (!next) {
            return;
        }
        const auto live = m_liveCalls.find(next->callId);
        const Dispatch &dispatch = live->second.dispatch;
        if (!m_epochs.isCurrent(dispatch.shard, dispatch.epoch)) {
            const Error stale(ErrorKind::StaleEpoch, "shard has a newer owner");
            refuse(live, stale.withNotRun(), actions);
        } else if (next->deadline <= now) {
            const Error late(ErrorKind::DeadlineExceeded,
                             "deadline passed while the call was queued");
            refuse(live, late.withNotRun(), actions);
        } else {
            live->second.isRunning = true;
            m_deadlines.erase({next->deadline, next->callId});
            ++m_running;
            actions.emplace_back(Start{next->callId, live->second.stream.value_or(0)});
        }
    }
}

template<schedule::CallQueue Queue>
Actions Registry<Queue>::onAbandoned(StreamNumber stream)
{
    Actions actions;
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return actions;
    }
    const auto live = m_liveCalls.find(found->second);
    if (!live->second.isRunning) {
        const Error cancelled(ErrorKind::Cancelled, "call was cancelled while it was queued");
        m_queue.remove(live->first);
        refuse(live, cancelled.withNotRun(), actions);
        return actions;
    }
    live->second.stream.reset();
    m_streams.erase(found);
    if (live->second.dispatch.idempotent && !live->second.isCancelled) {
        live->second.isCancelled = true;
        actions.emplace_back(Cancel{live->first});
    }
    return actions;
}

template<schedule::CallQueue Queue>
Actions Registry<Queue>::onFinished(const CallId &callId, const Result<wire::Answer> &result,
                                    std::uint64_t servedTokens, Instant now)
{
    Actions actions;
    const auto live = m_liveCalls.find(callId);
    if (live == m_liveCalls.end() || !live->second.isRunning) {
        return actions;
    }
    const Dispatch dispatch = live->second.dispatch;
    if constexpr (requires { m_queue.settle(dispatch.item, servedTokens); }) {
        m_queue.settle(dispatch.item, servedTokens);
    }
    --m_running;
    removeLive(live);
    if (!result && result.error().notRun()) {
        m_records.addNeverRun(callId);
    } else if (dispatch.idempotent) {
        m_records.addWithoutAnswer(callId);
    } else {
        m_records.addOutcome(callId, dispatch.item.program,
                             result ? std::optional(result.value()) : std::nullopt);
    }
    startNext(now, actions);
    return actions;
}

template<schedule::CallQueue Queue>
Actions Registry<Queue>::expire(Instant now)
{
    Actions actions;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto live = m_liveCalls.find(m_deadlines.begin()->second);
        const Error late(ErrorKind::DeadlineExceeded, "deadline passed while the call was queued");
        m_queue.remove(live->first);
        refuse(live, late.withNotRun(), actions);
    }
    return actions;
}

template<schedule::CallQueue Queue>
Actions Registry<Queue>::drain()
{
    m_draining = true;
    Actions actions;
    for (auto next = m_liveCalls.begin(); next != m_liveCalls.end();) {
        const auto live = next++;
        if (!live->second.isRunning) {
            m_queue.remove(live->first);
            refuse(live, draining(), actions);
        }
    }
    return actions;
}

template<schedule::CallQueue Queue>
const Dispatch *Registry<Queue>::find(const CallId &callId) const
{
    const auto live = m_liveCalls.find(callId);
    return live == m_liveCalls.end() ? nullptr : &live->second.dispatch;
}

template<schedule::CallQueue Queue>
Resolution Registry<Queue>::resolve(const CallId &callId, const Incarnation &agentIncarnation,
                                    std::uint32_t shard, std::uint64_t epoch)
{
    if (agentIncarnation != m_incarnation) {
        return {CallState::OtherIncarnation, std::nullopt};
    }
    m_epochs.observe(shard, epoch);
    const auto live = m_liveCalls.find(callId);
    if (live != m_liveCalls.end()) {
        return {CallState::Running, std::nullopt};
    }
    if (const Resolution *record = m_records.find(callId)) {
        return *record;
    }
    m_records.addNeverRun(callId);
    return {CallState::NeverRun, std::nullopt};
}

template<schedule::CallQueue Queue>
bool Registry<Queue>::release(const ProgramId &program, std::uint32_t shard, std::uint64_t epoch)
{
    if (!m_epochs.observe(shard, epoch)) {
        return false;
    }
    m_records.acknowledge(program);
    return true;
}

template<schedule::CallQueue Queue>
void Registry<Queue>::refuse(typename LiveCalls::iterator live, const Error &error,
                             Actions &actions)
{
    if (live->second.stream) {
        actions.emplace_back(Refuse{*live->second.stream, error});
    }
    m_records.addNeverRun(live->first);
    removeLive(live);
}

template<schedule::CallQueue Queue>
void Registry<Queue>::removeLive(typename LiveCalls::iterator live)
{
    const Dispatch &dispatch = live->second.dispatch;
    m_deadlines.erase({dispatch.item.deadline, live->first});
    m_liveNonIdempotent -= dispatch.idempotent ? 0 : 1;
    if (live->second.stream) {
        m_streams.erase(*live->second.stream);
    }
    const auto program = m_byProgram.find(dispatch.item.program);
    program->second.erase(live->first);
    if (program->second.empty()) {
        m_byProgram.erase(program);
    }
    m_liveCalls.erase(live);
}

template<schedule::CallQueue Queue>
Error Registry<Queue>::draining() const
{
    return Error(ErrorKind::Draining, "agent is shutting down")
        .withNotRun()
        .withRetryAfter(m_limits.retryAfter);
}

template<schedule::CallQueue Queue>
Error Registry<Queue>::overloaded(std::string_view reason) const
{
    return Error(ErrorKind::Overloaded, reason).withNotRun().withRetryAfter(m_limits.retryAfter);
}

} // namespace basilhall::dispatch
