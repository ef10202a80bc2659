#include "basilhall/owner/internal/dispatch_request.h"

#include <algorithm>

namespace basilhall::owner::internal
{

wire::DispatchRequest makeDispatchRequest(const OwnerState &state, const CallQueue &queue,
                                          const Call &call, Instant now)
{
    const program::Program &program = *state.table.find(queue.program);
    wire::DispatchRequest request;
    request.set_call_id(call.dispatchId);
    request.set_idempotency_key(queue.program.value() + "/" + call.request.call_id());
    request.set_program_id(queue.program.value());
    request.set_team(call.request.team());
    request.set_shard(queue.shard);
    request.set_epoch(state.shards.at(queue.shard).epoch);
    request.set_agent_incarnation(call.choice.agentIncarnation.value());
    request.set_kind(call.request.kind());
    request.set_route(call.request.route());
    request.set_idempotent(call.idempotent);
    request.set_stream(call.request.stream());
    request.set_timeout_ms(
        std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - now).count());
    request.set_priority(call.request.priority());
    if (const auto *team = state.manifest->team(program.team())) {
        request.set_team_weight(team->weight);
    }
    request.set_attained_tokens(state.table.accountOf(queue.program)->spent());
    request.set_attempt(call.attempts);
    const program::Program &root = *state.table.find(program.root());
    request.set_program_age_ms(
        std::max<std::int64_t>(0, call.request.arrived_wall_ms() - root.opened().opened_wall_ms()));
    if (call.model) {
        const std::string history = program.messages();
        request.set_max_completion_tokens(call.maxTokens);
        request.set_body(composePrompt(*call.model, history, call.addedMessages, call.maxTokens));
        request.set_prompt_tokens(request.body().size() / kBytesPerToken);
    } else {
        request.set_http_method(call.request.http_method());
        request.set_path(call.request.path());
        request.set_body(call.request.body());
    }
    return request;
}

} // namespace basilhall::owner::internal
