// A failed attempt of a call.
//
//     FailedAttempt attempt{.number = 1, .idempotent = true, .error = error, .deadline = deadline};
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/base/time.h"

#include <cstdint>

namespace basilhall::retry
{

// Immutable value.
struct FailedAttempt {
    // 1 for the first attempt.
    std::uint32_t number = 1;
    // True if the call may run more than once.
    bool idempotent = false;
    // True if a part of the answer was already sent to the caller.
    bool answerStarted = false;
    Error error;
    Instant deadline = Instant::max();

    bool operator==(const FailedAttempt &) const = default;
};

} // namespace basilhall::retry
