#include "basilhall/owner/internal/program_report.h"

#include <boost/json.hpp>

namespace basilhall::owner::internal
{

namespace json = boost::json;

namespace
{

std::string_view outcomeName(journal::TurnOutcome outcome)
{
    switch (outcome) {
    case journal::TURN_OUTCOME_DONE:
        return "done";
    case journal::TURN_OUTCOME_FAILED:
        return "failed";
    case journal::TURN_OUTCOME_UNKNOWN:
        return "unknown";
    case journal::TURN_OUTCOME_NOT_RUN:
        return "not_run";
    default:
        return "unspecified";
    }
}

const Call *currentCall(const OwnerState &state, const ProgramId &program)
{
    const auto queue = state.callQueues.find(program);
    return queue == state.callQueues.end() ? nullptr : queue->second.current();
}

// Returns the number of turns whose record is durable. The record of the last turn may be pending.
std::size_t durableTurns(const OwnerState &state, const program::Program &program)
{
    const Call *call = currentCall(state, program.id());
    const bool isLastPending =
        call != nullptr && call->phase == CallPhase::WaitingForRecord && !call->unwrittenRecord;
    return program.turns().size() - (isLastPending ? 1 : 0);
}

json::object currentObject(const Call &call)
{
    return {{"call", call.request.call_id()},
            {"route", call.request.route()},
            {"phase", std::string(toString(call.phase))},
            {"endpoint", call.choice.endpoint.value()},
            {"attempts", call.attempts}};
}

json::value bodyValue(const journal::TurnSettled &turn)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(turn.body(), failure);
    return failure ? json::value(turn.body()) : parsed;
}

json::object turnObject(const journal::TurnSettled &turn)
{
    json::object object{{"turn", turn.turn()},
                        {"call", turn.call_id()},
                        {"route", turn.route()},
                        {"outcome", std::string(outcomeName(turn.outcome()))},
                        {"spent_tokens", turn.spent_tokens()}};
    if (!turn.messages().empty()) {
        object["messages"] = json::parse("[" + turn.messages() + "]");
    } else {
        object["status"] = turn.status();
        object["answer"] = bodyValue(turn);
    }
    return object;
}

} // namespace

std::string statusDocument(const OwnerState &state, const program::Program &program)
{
    const std::uint32_t shard = state.shardOf(program.id());
    const program::BudgetAccount &account = *state.table.accountOf(program.id());
    json::object document{{"program", program.id().value()},
                          {"team", program.team().value()},
                          {"shard", shard},
                          {"epoch", state.shards.at(shard).epoch},
                          {"owner", state.self.value()},
                          {"turns", durableTurns(state, program)},
                          {"budget",
                           {{"limit_tokens", account.limit()},
                            {"spent_tokens", account.spent()},
                            {"reserved_tokens", account.reserved()}}},
                          {"ended", program.ended().has_value()}};
    if (program.ended()) {
        document["end_reason"] = program.ended()->reason();
    }
    if (const Call *call = currentCall(state, program.id())) {
        document["current"] = currentObject(*call);
    }
    const auto queue = state.callQueues.find(program.id());
    document["queued"] = queue == state.callQueues.end() ? 0 : queue->second.calls.size();
    return json::serialize(document);
}

std::string historyDocument(const OwnerState &state, const program::Program &program)
{
    json::array turns;
    const std::size_t count = durableTurns(state, program);
    for (std::size_t i = 0; i < count; ++i) {
        turns.push_back(turnObject(program.turns()[i]));
    }
    return json::serialize(json::object{{"program", program.id().value()}, {"turns", turns}});
}

} // namespace basilhall::owner::internal
