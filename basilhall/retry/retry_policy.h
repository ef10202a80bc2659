// Decides whether and when a failed attempt is retried.
//
//     RetryPolicy policy(settings);
//     const std::optional<Duration> delay =
//         policy.decide(attempt, teamBudget, endpointBudget, randomBits, now);
//     // If nullopt, answer the caller with attempt.error. Otherwise retry after *delay.
#pragma once

#include "basilhall/retry/failed_attempt.h"
#include "basilhall/retry/retry_budget.h"

#include <optional>

namespace basilhall::retry
{

// Thread-safe; the budgets are not.
class RetryPolicy
{
public:
    explicit RetryPolicy(const RetrySettings &settings);

    // Returns the delay before the next attempt, or nullopt if there is none. Takes from both
    // budgets only if the call is retried and `isCharged`. `randomBits` must be uniformly random.
    std::optional<Duration> decide(const FailedAttempt &attempt, RetryBudget &team,
                                   RetryBudget &endpoint, std::uint64_t randomBits,
                                   Instant now) const;

    // Returns true if another attempt is safe and can succeed: it does not run a non-idempotent
    // call twice, no part of the answer was sent, attempts are left, and the error is transient.
    bool isRetriable(const FailedAttempt &attempt) const;
    // Returns true if a retry takes from the budgets. Only repeated work and refusals because of
    // overload are charged. A call that moves away from a lost or draining endpoint has not run, so
    // moving it does not amplify the load.
    static bool isCharged(const FailedAttempt &attempt);
    // Returns a uniformly random delay between 0 and an upper bound that doubles with each attempt.
    Duration delay(std::uint32_t attempt, std::uint64_t randomBits) const;

private:
    RetrySettings m_settings;
};

} // namespace basilhall::retry
