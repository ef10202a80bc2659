// Limits on the calls that an agent runs and records.
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstddef>

namespace basilhall::dispatch
{

// Immutable value.
struct RegistryLimits {
    // Maximum number of calls that the endpoint runs concurrently.
    std::size_t capacity = 1;
    std::size_t maxQueued = 4096;
    // Maximum number of recorded finished and refused calls.
    std::size_t maxRecords = 8 * 1024;
    // Size of all recorded answers, in bytes, from which non-idempotent calls are refused.
    std::size_t maxAnswerBytes = 4 * 1024 * 1024;
    // Retry time for calls that are refused because of a limit or because the agent is draining.
    Duration retryAfter = std::chrono::seconds(1);

    auto operator<=>(const RegistryLimits &) const = default;
};

} // namespace basilhall::dispatch
