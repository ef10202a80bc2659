// A call that waits in the queue of an endpoint.
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/schedule/priority_class.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace basilhall::schedule
{

// Immutable value.
struct QueuedCall {
    CallId callId;
    ProgramId program;
    TeamName team;
    // Weight of the team when tokens are shared between teams. 0 is treated as 1.
    std::uint32_t weight = 1;
    PriorityClass priority = PriorityClass::Normal;
    // Tokens served to the whole program, including sub-agents, before this call.
    std::uint64_t attainedTokens = 0;
    // Tokens expected for this call: the part of the prompt to compute, and the answer.
    std::uint64_t estimatedTokens = 0;
    Instant deadline = Instant::max();
    Instant enqueued;
    // When the whole program started, by the agent's clock. If unknown, `enqueued` is used.
    std::optional<Instant> programStarted;

    auto operator<=>(const QueuedCall &) const = default;
};

} // namespace basilhall::schedule
