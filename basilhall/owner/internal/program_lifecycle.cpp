#include "basilhall/owner/internal/program_lifecycle.h"

namespace basilhall::owner::internal
{

ProgramLifecycle::ProgramLifecycle(OwnerState &state, CallRunner &runner)
    : m_state(state)
    , m_runner(runner)
{
}

void ProgramLifecycle::recoverShard(std::uint32_t shard, Instant now)
{
    for (const program::Program *program : m_state.table.programsOf(shard)) {
        m_state.lastActive.insert_or_assign(program->id(), now);
        if (program->openIntent()) {
            recover(*program, shard, now);
        }
    }
}

void ProgramLifecycle::recover(const program::Program &program, std::uint32_t shard, Instant now)
{
    const journal::CallIntent &intent = *program.openIntent();
    auto call = std::make_unique<Call>();
    call->request.set_call_id(intent.call_id());
    call->request.set_program_id(program.id().value());
    call->request.set_team(program.team().value());
    call->request.set_kind(wire::CALL_KIND_SERVICE);
    call->request.set_route(intent.route());
    call->bodyDigest = intent.body_digest();
    call->idempotent = false;
    call->phase = CallPhase::Resolving;
    call->phaseSince = now;
    call->deadline = now + m_state.options.defaultTimeout;
    call->dispatchId = intent.dispatch_id();
    call->choice.endpoint = EndpointName(intent.endpoint());
    call->choice.agentIncarnation = Incarnation(intent.agent_incarnation());
    if (const auto *endpoint = m_state.manifest->endpoint(call->choice.endpoint)) {
        call->choice.agent = endpoint->agent;
    }
    call->nextResolveAt = now;
    call->unansweredSince = now;
    CallQueue &queue = m_state.callQueues[program.id()];
    queue.program = program.id();
    queue.shard = shard;
    queue.calls.push_front(std::move(call));
}

void ProgramLifecycle::freeIdleReservations(std::uint32_t shard, Instant now)
{
    for (const program::Program *program : m_state.table.programsOf(shard)) {
        if (program->reservedTokens() == 0 || m_state.callQueues.contains(program->id())) {
            continue;
        }
        journal::Record record;
        record.mutable_call_withdrawn()->set_program_id(program->id().value());
        record.mutable_call_withdrawn()->set_turn(program->nextTurn());
        (void)m_state.append(program->id(), std::move(record), now);
    }
}

Result<void> ProgramLifecycle::end(const program::Program &program, std::string_view reason,
                                   Instant now)
{
    if (program.ended()) {
        return success();
    }
    const ProgramId &id = program.id();
    journal::Record record;
    record.mutable_program_ended()->set_program_id(id.value());
    record.mutable_program_ended()->set_reason(std::string(reason));
    BOOST_OUTCOME_TRY(m_state.append(id, std::move(record), now));
    if (const auto queue = m_state.callQueues.find(id); queue != m_state.callQueues.end()) {
        if (queue->second.current() != nullptr) {
            m_runner.withdraw(queue->second);
        }
        m_runner.startNext(id, now);
    }
    m_state.release(id);
    m_state.lastActive[id] = now;
    return success();
}

void ProgramLifecycle::sweep(Instant now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + m_state.options.sweepInterval;
    std::vector<ProgramId> idle;
    std::vector<ProgramId> expired;
    for (const auto &[id, since] : m_state.lastActive) {
        const program::Program *program = m_state.table.find(id);
        if (program == nullptr || m_state.callQueues.contains(id)) {
            continue;
        }
        const Duration idleFor = now - since;
        if (program->ended() && idleFor > m_state.options.retention) {
            expired.push_back(id);
        } else if (!program->ended() && idleFor > m_state.options.idleTimeout) {
            idle.push_back(id);
        }
    }
    for (const ProgramId &id : idle) {
        (void)end(*m_state.table.find(id), "idle for too long", now);
    }
    for (const ProgramId &id : expired) {
        m_state.table.remove(id);
        m_state.lastActive.erase(id);
    }
}

} // namespace basilhall::owner::internal
