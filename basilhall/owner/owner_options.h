// Limits and time spans of an owner.
#pragma once

#include "basilhall/base/time.h"

#include <cstddef>
#include <cstdint>

namespace basilhall::owner
{

// Immutable value.
struct OwnerOptions {
    // Timeout of a call whose caller gave none.
    Duration defaultTimeout = std::chrono::minutes(10);
    // Maximum number of attempts of one call, including the first.
    unsigned maxAttempts = 3;
    // Maximum number of calls in the queue of one program, including the one in progress.
    std::size_t maxQueuedCalls = 64;
    // Maximum number of turns of one program.
    std::uint64_t maxTurns = 2'000;
    // A write that has been pending for longer than this counts as an outage of the object API.
    Duration outageAfter = std::chrono::seconds(2);
    // Retry delay given to callers during an outage or a change of owner.
    Duration retryAfter = std::chrono::seconds(2);
    // A program that has had no call for this long is ended.
    Duration idleTimeout = std::chrono::hours(1);
    // How long the history of an ended program remains readable.
    Duration retention = std::chrono::minutes(30);
    // Interval between two queries to an agent about the same dispatch.
    Duration resolveInterval = std::chrono::milliseconds(500);
    // The outcome of a dispatch counts as unknown once its agent was unreachable for this long.
    Duration resolveTimeout = std::chrono::seconds(30);
    // Interval between two searches for idle and ended programs.
    Duration sweepInterval = std::chrono::seconds(5);

    auto operator<=>(const OwnerOptions &) const = default;
};

} // namespace basilhall::owner
