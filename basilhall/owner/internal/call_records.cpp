#include "basilhall/owner/internal/call_records.h"

namespace basilhall::owner::internal
{

namespace
{

// The tokens of the next call are reserved in advance only while more than this multiple of them is
// available.
constexpr std::uint64_t kReserveAheadFactor = 4;

} // namespace

Result<void> CallRecords::writeIntent(CallQueue &queue, Call &call, std::uint64_t reserve,
                                      Instant now)
{
    if (m_state.isOutage(now) || !m_state.writer.acceptsNewWork()) {
        return m_state.notRunError(ErrorKind::StoreUnavailable, "the object API does not answer");
    }
    if (m_state.table.find(queue.program) == nullptr) {
        BOOST_OUTCOME_TRY(writeOpening(queue, call, now));
    }
    journal::Record record;
    journal::CallIntent &intent = *record.mutable_call_intent();
    intent.set_program_id(queue.program.value());
    intent.set_turn(m_state.table.find(queue.program)->nextTurn());
    intent.set_call_id(call.request.call_id());
    intent.set_route(call.request.route());
    intent.set_idempotent(call.idempotent);
    intent.set_endpoint(call.choice.endpoint.value());
    intent.set_agent_incarnation(call.choice.agentIncarnation.value());
    intent.set_reserved_tokens(reserve);
    intent.set_body_digest(call.bodyDigest);
    intent.set_dispatch_id(call.dispatchId);
    BOOST_OUTCOME_TRY(const journal::RecordTicket ticket,
                      m_state.append(queue.program, std::move(record), now));
    call.phase = CallPhase::WaitingForIntent;
    awaitRecord(queue, call, ticket, now);
    return success();
}

Result<void> CallRecords::writeOpening(const CallQueue &queue, const Call &call, Instant now)
{
    journal::Record record;
    journal::ProgramOpened &opened = *record.mutable_program_opened();
    opened.set_program_id(queue.program.value());
    opened.set_team(call.request.team());
    opened.set_opened_wall_ms(call.request.arrived_wall_ms());
    if (const auto *team = m_state.manifest->team(TeamName(call.request.team()))) {
        opened.set_budget_tokens(team->programBudgetTokens);
    }
    BOOST_OUTCOME_TRY(m_state.append(queue.program, std::move(record), now));
    return success();
}

void CallRecords::settle(CallQueue &queue, Call &call, journal::TurnOutcome outcome,
                         const wire::Answer &answer, DeferredReply deferredReply, Instant now)
{
    journal::Record record;
    journal::TurnSettled &settled = *record.mutable_turn_settled();
    settled.set_program_id(queue.program.value());
    settled.set_turn(m_state.table.find(queue.program)->nextTurn());
    settled.set_call_id(call.request.call_id());
    settled.set_outcome(outcome);
    settled.set_status(answer.status());
    settled.set_content_type(answer.content_type());
    settled.set_body(answer.body());
    settled.set_finish_reason(answer.finish_reason());
    settled.set_body_digest(call.bodyDigest);
    settled.set_route(call.request.route());
    if (call.model) {
        settled.set_messages(call.addedMessages + "," + answer.body());
        fillSpending(settled, queue, call, answer.usage());
    }
    call.deferredReply = std::move(deferredReply);
    call.phase = CallPhase::WaitingForRecord;
    call.phaseSince = now;
    call.unwrittenRecord = std::move(record);
    retrySettlement(queue, now);
}

void CallRecords::fillSpending(journal::TurnSettled &settled, const CallQueue &queue,
                               const Call &call, const wire::Usage &usage) const
{
    const bool isReported = usage.completion_tokens() > 0;
    settled.set_spent_tokens(isReported ? usage.completion_tokens() : call.maxTokens);
    const std::uint64_t available = m_state.table.accountOf(queue.program)->available();
    const bool isReleasing = m_state.shards.at(queue.shard).releasing;
    if (!isReleasing && available > call.maxTokens * kReserveAheadFactor) {
        settled.set_reserved_next_tokens(call.maxTokens);
    }
}

void CallRecords::retrySettlement(CallQueue &queue, Instant now)
{
    Call &call = *queue.current();
    const Result<journal::RecordTicket> ticket =
        m_state.append(queue.program, *call.unwrittenRecord, now);
    if (!ticket) {
        // The journal is full during an outage. Keep the record until the journal accepts it.
        m_state.programsWithUnwrittenRecord.insert(queue.program);
        return;
    }
    m_state.programsWithUnwrittenRecord.erase(queue.program);
    call.unwrittenRecord.reset();
    awaitRecord(queue, call, ticket.value(), now);
}

void CallRecords::writeWithdrawal(const ProgramId &program, const CallId &call, std::uint64_t spent,
                                  Instant now)
{
    const program::Program *known = m_state.table.find(program);
    if (known == nullptr) {
        return;
    }
    journal::Record record;
    journal::CallWithdrawn &withdrawn = *record.mutable_call_withdrawn();
    withdrawn.set_program_id(program.value());
    withdrawn.set_turn(known->nextTurn());
    withdrawn.set_call_id(call.value());
    withdrawn.set_spent_tokens(spent);
    // If the journal is sealed or full, the record is lost. The successor then charges the
    // reservation and queries the agent.
    (void)m_state.append(program, std::move(record), now);
}

void CallRecords::awaitRecord(const CallQueue &queue, Call &call, journal::RecordTicket ticket,
                              Instant now)
{
    call.awaitedRecord = ticket;
    call.phaseSince = now;
    m_state.awaitedRecords.emplace_back(ticket, queue.program);
}

} // namespace basilhall::owner::internal
