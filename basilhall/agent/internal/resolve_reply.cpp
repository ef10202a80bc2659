#include "basilhall/agent/internal/resolve_reply.h"

namespace basilhall::agent::internal
{

namespace
{

wire::ResolveReply::State toState(dispatch::CallState state)
{
    switch (state) {
    case dispatch::CallState::OtherIncarnation:
        return wire::ResolveReply::STATE_OTHER_INCARNATION;
    case dispatch::CallState::NeverRun:
        return wire::ResolveReply::STATE_NEVER;
    case dispatch::CallState::Running:
        return wire::ResolveReply::STATE_RUNNING;
    case dispatch::CallState::Done:
        return wire::ResolveReply::STATE_DONE;
    case dispatch::CallState::Unknown:
        break;
    }
    return wire::ResolveReply::STATE_UNKNOWN;
}

} // namespace

wire::ResolveReply toReply(const dispatch::Resolution &resolution)
{
    wire::ResolveReply reply;
    reply.set_state(toState(resolution.state));
    if (resolution.answer) {
        *reply.mutable_answer() = *resolution.answer;
    }
    return reply;
}

} // namespace basilhall::agent::internal
