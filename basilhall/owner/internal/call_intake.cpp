#include "basilhall/owner/internal/call_intake.h"

#include "basilhall/base/sha256.h"

#include <algorithm>

namespace basilhall::owner::internal
{

namespace
{

Error bodyMismatch(const std::string &callId)
{
    return Error(ErrorKind::Conflict, "call \"" + callId + "\" was made with another body")
        .withNotRun();
}

} // namespace

CallIntake::CallIntake(OwnerState &state, CallRunner &runner)
    : m_state(state)
    , m_runner(runner)
    , m_replies(state)
{
}

void CallIntake::callArrived(CallTicket ticket, wire::CallRequest request, Instant now)
{
    if (const std::optional<Error> refusal = refusalOf(request)) {
        m_replies.reply(ticket, *refusal);
        return;
    }
    if (joinCallInProgress(ticket, request) || replaySettledTurn(ticket, request)) {
        return;
    }
    const ProgramId program(request.program_id());
    Result<std::unique_ptr<Call>> call = makeCall(ticket, std::move(request), now);
    if (!call) {
        m_replies.reply(ticket, call.error());
        return;
    }
    CallQueue &queue = m_state.callQueues[program];
    queue.program = program;
    queue.shard = m_state.shardOf(program);
    if (queue.calls.size() >= m_state.options.maxQueuedCalls) {
        m_replies.reply(
            ticket,
            m_state.notRunError(ErrorKind::Overloaded,
                                "program \"" + program.value() + "\" has too many waiting calls"));
        return;
    }
    m_state.addTicket(ticket, program, call.value()->deadline);
    queue.calls.push_back(std::move(call.value()));
    m_runner.startNext(program, now);
}

std::optional<Error> CallIntake::refusalOf(const wire::CallRequest &request) const
{
    const ProgramId program(request.program_id());
    if (!program::isValidProgramName(program.value())) {
        return Error(ErrorKind::InvalidRequest,
                     "program name \"" + program.value()
                         + "\" is empty, too long or holds other characters than letters, digits, "
                           "'-', '_' and '.'")
            .withNotRun();
    }
    const std::uint32_t shard = m_state.shardOf(program);
    const auto owned = m_state.shards.find(shard);
    if (owned == m_state.shards.end() || owned->second.releasing || m_state.writer.isSealed()) {
        return notOwner(shard).withNotRun().withRetryAfter(m_state.options.retryAfter);
    }
    const program::Program *known = m_state.table.find(program);
    const program::Program *root = m_state.table.find(program::rootOf(program));
    for (const program::Program *owner : {known, root}) {
        if (owner != nullptr && owner->team() != TeamName(request.team())) {
            return Error(ErrorKind::Forbidden,
                         "program \"" + program.value() + "\" belongs to another team")
                .withNotRun();
        }
    }
    const bool isSubAgent = program != program::rootOf(program);
    if (isSubAgent && root == nullptr) {
        return unknownProgram(program::rootOf(program).value());
    }
    if (isSubAgent && known == nullptr && root->ended()) {
        return Error(ErrorKind::ProgramEnded, "program \"" + root->id().value() + "\" has ended")
            .withNotRun();
    }
    return std::nullopt;
}

Result<std::unique_ptr<Call>> CallIntake::makeCall(CallTicket ticket, wire::CallRequest request,
                                                   Instant now) const
{
    auto call = std::make_unique<Call>();
    call->primary = ticket;
    call->waitingTickets.push_back(ticket);
    call->bodyDigest = sha256Hex(request.body());
    call->phaseSince = now;
    call->deadline = now + m_state.options.defaultTimeout;
    if (request.timeout_ms() > 0) {
        call->deadline = now + std::chrono::milliseconds(request.timeout_ms());
    }
    if (request.kind() == wire::CALL_KIND_MODEL) {
        BOOST_OUTCOME_TRY(call->model, program::parseModelRequest(request.body()));
    } else {
        const manifest::Route *route = m_state.manifest->route(request.route());
        if (route == nullptr) {
            return Error(ErrorKind::NotFound, "route \"" + request.route() + "\" does not exist")
                .withNotRun();
        }
        call->idempotent = route->idempotent;
    }
    call->request = std::move(request);
    return call;
}

// A retry of a call that is still in progress waits for the same answer.
bool CallIntake::joinCallInProgress(CallTicket ticket, const wire::CallRequest &request)
{
    const auto queue = m_state.callQueues.find(ProgramId(request.program_id()));
    if (queue == m_state.callQueues.end()) {
        return false;
    }
    auto &calls = queue->second.calls;
    const auto found = std::find_if(calls.begin(), calls.end(), [&request](const auto &call) {
        return call->request.call_id() == request.call_id() && !call->withdrawn;
    });
    if (found == calls.end()) {
        return false;
    }
    Call &call = **found;
    if (call.bodyDigest != sha256Hex(request.body())) {
        m_replies.reply(ticket, bodyMismatch(request.call_id()));
        return true;
    }
    if (call.primary == 0) {
        call.primary = ticket;
        call.request = request;
    }
    call.waitingTickets.push_back(ticket);
    m_state.addTicket(ticket, queue->first, call.deadline);
    return true;
}

// A retry of a settled call gets the recorded answer.
bool CallIntake::replaySettledTurn(CallTicket ticket, const wire::CallRequest &request)
{
    const program::Program *program = m_state.table.find(ProgramId(request.program_id()));
    const journal::TurnSettled *turn =
        program == nullptr ? nullptr : program->turnOfCall(CallId(request.call_id()));
    if (turn == nullptr) {
        return false;
    }
    if (turn->body_digest() != sha256Hex(request.body())) {
        m_replies.reply(ticket, bodyMismatch(request.call_id()));
    } else {
        m_replies.replay(ticket, *turn);
    }
    return true;
}

void CallIntake::callerGone(CallTicket ticket, Instant now)
{
    removeCaller(ticket, Error(ErrorKind::Cancelled, "the caller is gone"),
                 RemovalReason::CallerGone, now);
}

// Removes one caller from its call. A call that a caller can retry continues, so that the retry
// gets its answer.
void CallIntake::removeCaller(CallTicket ticket, const Error &error, RemovalReason reason,
                              Instant now)
{
    const auto pending = m_state.pendingTickets.find(ticket);
    if (pending == m_state.pendingTickets.end()) {
        return;
    }
    const ProgramId program = pending->second.program;
    CallQueue &queue = m_state.callQueues.at(program);
    const auto position =
        std::find_if(queue.calls.begin(), queue.calls.end(), [ticket](const auto &call) {
            return std::count(call->waitingTickets.begin(), call->waitingTickets.end(), ticket) > 0;
        });
    Call &call = **position;
    std::erase(call.waitingTickets, ticket);
    const bool isNotRun = call.waitingTickets.empty() && !call.hasStarted() && !call.mayHaveRun;
    m_replies.reply(ticket, isNotRun ? error.withNotRun() : error);
    if (!call.waitingTickets.empty()) {
        return;
    }
    const bool canBeRetried = reason == RemovalReason::CallerGone && call.request.program_named();
    if (call.phase == CallPhase::Queued) {
        queue.calls.erase(position);
    } else if (!call.hasStarted() || !canBeRetried) {
        m_runner.withdraw(queue);
    }
    m_runner.startNext(program, now);
}

void CallIntake::expireDeadlines(Instant now)
{
    while (!m_state.deadlines.empty() && m_state.deadlines.begin()->first <= now) {
        const CallTicket ticket = m_state.deadlines.begin()->second;
        removeCaller(ticket,
                     Error(ErrorKind::DeadlineExceeded, "the deadline of the call has passed"),
                     RemovalReason::EndedByOwner, now);
    }
}

// A call that waits for its intent is refused without waiting for the end of the outage. If the
// intent becomes durable after all, it is withdrawn then.
void CallIntake::refuseDuringOutage(Instant now)
{
    if (!m_state.isOutage(now)) {
        return;
    }
    std::vector<CallTicket> refused;
    for (const auto &[program, queue] : m_state.callQueues) {
        const Call *call = queue.current();
        const bool isStuck = call != nullptr && call->phase == CallPhase::WaitingForIntent
            && now - call->phaseSince > m_state.options.outageAfter;
        if (isStuck) {
            refused.insert(refused.end(), call->waitingTickets.begin(), call->waitingTickets.end());
        }
    }
    const Error error(ErrorKind::StoreUnavailable, "the object API does not answer");
    for (const CallTicket ticket : refused) {
        removeCaller(ticket, error.withRetryAfter(m_state.options.retryAfter),
                     RemovalReason::EndedByOwner, now);
    }
}

} // namespace basilhall::owner::internal
