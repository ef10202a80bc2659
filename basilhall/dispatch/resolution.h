// The state of a call as an agent reports it to an owner.
#pragma once

#include "basilhall/wire/wire.pb.h"

#include <optional>

namespace basilhall::dispatch
{

enum class CallState {
    // The request names another incarnation of the agent. The state is not known.
    OtherIncarnation,
    // The call has not run and will not run on this incarnation.
    NeverRun,
    Running,
    Done,
    // The call has run or may have run, and its answer is not kept.
    Unknown,
};

struct Resolution {
    CallState state = CallState::Unknown;
    // Set if the state is Done.
    std::optional<wire::Answer> answer;
};

} // namespace basilhall::dispatch
