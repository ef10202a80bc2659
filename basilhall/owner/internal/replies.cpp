#include "basilhall/owner/internal/replies.h"

namespace basilhall::owner::internal
{

void Replies::reply(CallTicket ticket, const Error &error)
{
    m_state.actions.emplace_back(ReplyError{ticket, error});
    m_state.removeTicket(ticket);
}

void Replies::reply(CallTicket ticket, wire::CallFinished finished)
{
    m_state.actions.emplace_back(ReplyFinished{ticket, std::move(finished)});
    m_state.removeTicket(ticket);
}

void Replies::replay(CallTicket ticket, const journal::TurnSettled &turn)
{
    if (turn.outcome() == journal::TURN_OUTCOME_UNKNOWN) {
        reply(ticket,
              Error(ErrorKind::OutcomeUnknown, "call \"" + turn.call_id() + "\" may have run"));
        return;
    }
    if (turn.outcome() == journal::TURN_OUTCOME_FAILED) {
        reply(ticket, Error(ErrorKind::EndpointFailed, turn.body()));
        return;
    }
    wire::CallFinished finished;
    finished.set_program_id(turn.program_id());
    finished.set_turn(turn.turn());
    finished.set_replayed(true);
    finished.mutable_answer()->set_status(turn.status());
    finished.mutable_answer()->set_content_type(turn.content_type());
    finished.mutable_answer()->set_body(turn.body());
    finished.mutable_answer()->set_finish_reason(turn.finish_reason());
    finished.mutable_answer()->mutable_usage()->set_completion_tokens(turn.spent_tokens());
    reply(ticket, std::move(finished));
}

} // namespace basilhall::owner::internal
