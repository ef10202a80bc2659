// Settings of retries.
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>

namespace basilhall::retry
{

// Immutable value.
struct RetrySettings {
    // Retries that each successful call adds to a budget, in 1/1000.
    std::uint32_t perSuccessMilli = 100;
    // Maximum number of retries in a budget, and the number that a new budget starts with.
    std::uint32_t budgetSize = 10;
    // Maximum number of attempts of one call, including the first.
    std::uint32_t maxAttempts = 4;
    // The delay before retry n is uniform between 0 and min(baseDelay * 2^n, maxDelay).
    Duration baseDelay = std::chrono::milliseconds(20);
    Duration maxDelay = std::chrono::seconds(2);
    // Minimum time between a retry and the deadline.
    Duration minTimeLeft = std::chrono::milliseconds(50);

    auto operator<=>(const RetrySettings &) const = default;
};

} // namespace basilhall::retry
