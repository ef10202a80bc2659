#include "basilhall/owner/internal/call_runner.h"

#include "basilhall/journal/batch_codec.h"
#include "basilhall/owner/internal/dispatch_request.h"
#include "basilhall/owner/internal/turn_order.h"

#include <algorithm>

namespace basilhall::owner::internal
{

namespace
{

// All parts of a turn must fit into one record of the journal.
constexpr std::size_t kMaxMessagesBytes = journal::kMaxBatchBytes / 2;
constexpr std::size_t kMaxAnswerBytes = journal::kMaxBatchBytes / 4;

// Removes the "not run" mark. A refused attempt does not show that the call has not run if an
// earlier attempt may have run.
Error withoutNotRun(const Error &error)
{
    const Error plain(error.kind(), error.message());
    return error.retryAfter() ? plain.withRetryAfter(*error.retryAfter()) : plain;
}

Error tooLarge(std::size_t bytes)
{
    return Error(ErrorKind::PayloadTooLarge,
                 "the new messages have " + std::to_string(bytes) + " bytes; the limit is "
                     + std::to_string(kMaxMessagesBytes))
        .withNotRun();
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

void enterPhase(Call &call, CallPhase phase, Instant now)
{
    call.phase = phase;
    call.phaseSince = now;
}

} // namespace

CallRunner::CallRunner(OwnerState &state, EndpointChooser chooseEndpoint)
    : m_state(state)
    , m_records(state)
    , m_replies(state)
    , m_chooseEndpoint(std::move(chooseEndpoint))
{
}

void CallRunner::startNext(const ProgramId &program, Instant now)
{
    const auto found = m_state.callQueues.find(program);
    if (found == m_state.callQueues.end()) {
        return;
    }
    CallQueue &queue = found->second;
    while (queue.current() == nullptr) {
        const program::Program *known = m_state.table.find(program);
        const std::uint64_t nextTurn = known == nullptr ? 1 : known->nextTurn();
        Call *const call = selectNext(queue, nextTurn);
        if (call == nullptr) {
            break;
        }
        if (const auto refusal = refusalOfTurn(m_state, program, *call, nextTurn)) {
            fail(queue, *call, *refusal, now);
        } else {
            startAttempt(queue, *call, now);
        }
    }
    if (queue.calls.empty()) {
        m_state.callQueues.erase(found);
    }
}

bool CallRunner::startAttempt(CallQueue &queue, Call &call, Instant now)
{
    const bool isModel = call.request.kind() == wire::CALL_KIND_MODEL;
    const program::Program *program = m_state.table.find(queue.program);
    std::size_t promptBytes = call.request.body().size();
    if (isModel) {
        const Result<std::uint64_t> allowed = allowedTokens(queue, call);
        if (!allowed) {
            withdrawAndFail(queue, call, allowed.error(), now);
            return false;
        }
        call.maxTokens = allowed.value();
        const std::string history = program == nullptr ? "" : program->messages();
        promptBytes += history.size();
        call.addedMessages = newMessages(*call.model, history);
        if (call.addedMessages.size() > kMaxMessagesBytes) {
            withdrawAndFail(queue, call, tooLarge(call.addedMessages.size()), now);
            return false;
        }
    }
    CallNeeds needs{queue.program,           call.request.route(),         call.request.kind(),
                    call.request.priority(), promptBytes / kBytesPerToken, call.failedEndpoints};
    const Result<EndpointChoice> choice = m_chooseEndpoint(needs, now);
    if (!choice) {
        // The failure of the last endpoint explains more than the lack of another one.
        withdrawAndFail(queue, call, call.lastFailure.value_or(choice.error()), now);
        return false;
    }
    call.choice = choice.value();
    ++call.attempts;
    call.dispatchId = m_state.self.value() + "." + std::to_string(++m_lastDispatch);
    const std::uint64_t reserved = program == nullptr ? 0 : program->reservedTokens();
    const std::uint64_t missing = call.maxTokens - std::min(call.maxTokens, reserved);
    const bool needsIntent = program == nullptr || !call.idempotent || missing > 0;
    if (needsIntent) {
        const Result<void> written = m_records.writeIntent(queue, call, missing, now);
        if (!written) {
            withdrawAndFail(queue, call, written.error().withNotRun(), now);
        }
        return written.has_value();
    }
    dispatch(queue, call, now);
    return true;
}

Result<std::uint64_t> CallRunner::allowedTokens(const CallQueue &queue, const Call &call) const
{
    const manifest::Model *model = m_state.manifest->model(ModelName(call.request.route()));
    if (model == nullptr) {
        return Error(ErrorKind::NotFound, "model \"" + call.request.route() + "\" does not exist")
            .withNotRun();
    }
    const program::Program *program = m_state.table.find(queue.program);
    const program::BudgetAccount *account = m_state.table.accountOf(queue.program);
    std::uint64_t usable = 0;
    if (account != nullptr) {
        usable = account->available() + (program == nullptr ? 0 : program->reservedTokens());
    } else if (const auto *team = m_state.manifest->team(TeamName(call.request.team()))) {
        usable = team->programBudgetTokens;
    }
    if (usable == 0) {
        return Error(ErrorKind::BudgetExceeded,
                     "program \"" + queue.program.value() + "\" has spent its budget")
            .withNotRun();
    }
    if (program != nullptr && program->openIntent()) {
        // A refused attempt leaves its intent open, with the tokens that the intent reserved.
        usable = program->reservedTokens();
    }
    const std::uint64_t wanted = call.model->maxTokens.value_or(model->maxCompletionTokens);
    return std::min({wanted, model->maxCompletionTokens, usable});
}

void CallRunner::dispatch(CallQueue &queue, Call &call, Instant now)
{
    const program::Program &program = *m_state.table.find(queue.program);
    wire::DispatchRequest request = makeDispatchRequest(m_state, queue, call, now);
    enterPhase(call, CallPhase::Dispatched, now);
    m_state.cachingEndpoints[queue.program].insert(call.choice.endpoint);
    m_state.programOfDispatch.emplace(call.dispatchId, queue.program);
    if (call.attempts == 1) {
        wire::CallStarted started;
        started.set_program_id(queue.program.value());
        started.set_turn(program.nextTurn());
        for (const CallTicket ticket : call.waitingTickets) {
            m_state.actions.emplace_back(ReplyStarted{ticket, started});
        }
    }
    m_state.actions.emplace_back(
        DispatchCall{call.primary, call.choice.endpoint, call.choice.agent, std::move(request)});
}

void CallRunner::recordDurable(CallQueue &queue, Instant now)
{
    Call &call = *queue.current();
    if (call.phase == CallPhase::WaitingForIntent) {
        if (call.withdrawn || call.waitingTickets.empty()) {
            // If a caller still waits here, the program was ended in the meantime.
            const Error ended(ErrorKind::ProgramEnded,
                              "program \"" + queue.program.value() + "\" has ended");
            m_records.writeWithdrawal(queue.program, CallId(call.request.call_id()), 0, now);
            fail(queue, call, ended.withNotRun(), now);
            return;
        }
        dispatch(queue, call, now);
        return;
    }
    for (const CallTicket ticket : call.waitingTickets) {
        if (const auto *finished = std::get_if<wire::CallFinished>(&call.deferredReply)) {
            m_replies.reply(ticket, *finished);
        } else if (const auto *error = std::get_if<Error>(&call.deferredReply)) {
            m_replies.reply(ticket, *error);
        }
    }
    call.waitingTickets.clear();
    removeCurrent(queue, now);
}

void CallRunner::dispatchEnded(CallQueue &queue, const Result<wire::Answer> &result, Instant now)
{
    Call &call = *queue.current();
    if (result) {
        answered(queue, call, result.value(), now);
    } else if (result.error().notRun()) {
        refused(queue, call, result.error(), now);
    } else {
        interrupted(queue, call, result.error(), now);
    }
}

void CallRunner::answered(CallQueue &queue, Call &call, const wire::Answer &answer, Instant now)
{
    if (call.model && !isSuccess(answer.status())) {
        m_records.writeWithdrawal(queue.program, CallId(call.request.call_id()),
                                  answer.usage().completion_tokens(), now);
        fail(queue, call,
             Error(ErrorKind::EndpointFailed,
                   "endpoint \"" + call.choice.endpoint.value() + "\" answered with status "
                       + std::to_string(answer.status())),
             now);
        return;
    }
    settleDone(queue, call, answer, now);
}

// The attempt has not run and cannot run later.
void CallRunner::refused(CallQueue &queue, Call &call, const Error &error, Instant now)
{
    if (!call.idempotent) {
        m_records.writeWithdrawal(queue.program, CallId(call.request.call_id()), 0, now);
    }
    retryOrFail(queue, call, error, now);
}

// The attempt may have run.
void CallRunner::interrupted(CallQueue &queue, Call &call, const Error &error, Instant now)
{
    if (!call.idempotent) {
        if (error.kind() == ErrorKind::OutcomeUnknown) {
            settleUnknown(queue, call, now);
        } else {
            startResolving(call, now);
            pollResolve(queue, now);
        }
        return;
    }
    call.mayHaveRun = true;
    m_records.writeWithdrawal(queue.program, CallId(call.request.call_id()), call.maxTokens, now);
    if (call.withdrawn || call.hasStreamed || error.kind() == ErrorKind::DeadlineExceeded) {
        fail(queue, call, error, now);
        return;
    }
    retryOrFail(queue, call, error, now);
}

void CallRunner::retryOrFail(CallQueue &queue, Call &call, const Error &reason, Instant now)
{
    const bool isStale = reason.kind() == ErrorKind::StaleEpoch;
    const bool isLast = call.attempts >= m_state.options.maxAttempts;
    if (isStale || isLast || call.waitingTickets.empty() || call.deadline <= now) {
        const Error error =
            reason.retryAfter() ? reason : reason.withRetryAfter(m_state.options.retryAfter);
        withdrawAndFail(queue, call, error, now);
        return;
    }
    call.failedEndpoints.push_back(call.choice.endpoint);
    call.lastFailure =
        reason.retryAfter() ? reason : reason.withRetryAfter(m_state.options.retryAfter);
    startAttempt(queue, call, now);
}

void CallRunner::startResolving(Call &call, Instant now)
{
    enterPhase(call, CallPhase::Resolving, now);
    call.nextResolveAt = now;
    call.unansweredSince = now;
}

void CallRunner::pollResolve(CallQueue &queue, Instant now)
{
    Call &call = *queue.current();
    if (call.phase != CallPhase::Resolving || now < call.nextResolveAt) {
        return;
    }
    call.nextResolveAt = Instant::max();
    wire::ResolveRequest request;
    request.set_call_id(call.dispatchId);
    request.set_agent_incarnation(call.choice.agentIncarnation.value());
    request.set_shard(queue.shard);
    request.set_epoch(m_state.shards.at(queue.shard).epoch);
    m_state.programOfDispatch.insert_or_assign(call.dispatchId, queue.program);
    m_state.actions.emplace_back(ResolveCall{call.choice.agent, std::move(request)});
}

void CallRunner::resolved(CallQueue &queue, const Result<wire::ResolveReply> &reply, Instant now)
{
    Call &call = *queue.current();
    call.nextResolveAt = now + m_state.options.resolveInterval;
    if (!reply) {
        if (now - call.unansweredSince > m_state.options.resolveTimeout) {
            settleUnknown(queue, call, now);
        }
        return;
    }
    call.unansweredSince = now;
    switch (reply.value().state()) {
    case wire::ResolveReply::STATE_DONE:
        settleDone(queue, call, reply.value().answer(), now);
        return;
    case wire::ResolveReply::STATE_NEVER:
        refused(queue, call,
                Error(ErrorKind::Unavailable,
                      "the call did not reach endpoint \"" + call.choice.endpoint.value() + "\"")
                    .withNotRun(),
                now);
        return;
    case wire::ResolveReply::STATE_RUNNING:
        return;
    default:
        settleUnknown(queue, call, now);
        return;
    }
}

void CallRunner::settleDone(CallQueue &queue, Call &call, const wire::Answer &answer, Instant now)
{
    if (answer.body().size() > kMaxAnswerBytes) {
        const Error error(ErrorKind::EndpointFailed,
                          "endpoint \"" + call.choice.endpoint.value() + "\" answered with "
                              + std::to_string(answer.body().size()) + " bytes; the limit is "
                              + std::to_string(kMaxAnswerBytes));
        wire::Answer failure;
        failure.set_status(answer.status());
        failure.set_body(error.message());
        *failure.mutable_usage() = answer.usage();
        m_records.settle(queue, call, journal::TURN_OUTCOME_FAILED, failure, error, now);
        return;
    }
    wire::CallFinished finished;
    finished.set_program_id(queue.program.value());
    finished.set_turn(m_state.table.find(queue.program)->nextTurn());
    *finished.mutable_answer() = answer;
    m_records.settle(queue, call, journal::TURN_OUTCOME_DONE, answer, std::move(finished), now);
}

void CallRunner::settleUnknown(CallQueue &queue, Call &call, Instant now)
{
    const Error error(ErrorKind::OutcomeUnknown,
                      "call \"" + call.request.call_id() + "\" may have run");
    m_records.settle(queue, call, journal::TURN_OUTCOME_UNKNOWN, {}, error, now);
}

void CallRunner::withdraw(CallQueue &queue)
{
    Call &call = *queue.current();
    const bool canStop = call.phase == CallPhase::WaitingForIntent
        || (call.phase == CallPhase::Dispatched && call.idempotent);
    if (call.withdrawn || !canStop) {
        return;
    }
    call.withdrawn = true;
    if (call.phase == CallPhase::Dispatched) {
        m_state.actions.emplace_back(CancelDispatch{call.dispatchId});
    }
}

// Ends a call that has no attempt that runs or can still run; withdraws its intent if one is open.
void CallRunner::withdrawAndFail(CallQueue &queue, Call &call, const Error &error, Instant now)
{
    const program::Program *program = m_state.table.find(queue.program);
    if (program != nullptr && program->openIntent()) {
        m_records.writeWithdrawal(queue.program, CallId(call.request.call_id()), 0, now);
    }
    fail(queue, call, error, now);
}

void CallRunner::fail(CallQueue &queue, Call &call, const Error &error, Instant now)
{
    for (const CallTicket ticket : call.waitingTickets) {
        m_replies.reply(ticket, call.mayHaveRun ? withoutNotRun(error) : error);
    }
    call.waitingTickets.clear();
    removeCurrent(queue, now);
}

// Removes the call at the front and starts the next one.
void CallRunner::removeCurrent(CallQueue &queue, Instant now)
{
    m_state.programOfDispatch.erase(queue.calls.front()->dispatchId);
    queue.calls.pop_front();
    m_state.lastActive[queue.program] = now;
}

} // namespace basilhall::owner::internal
