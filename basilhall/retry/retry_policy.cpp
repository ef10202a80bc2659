#include "basilhall/retry/retry_policy.h"

#include <algorithm>

namespace basilhall::retry
{

namespace
{

constexpr std::uint32_t kMaxDoublings = 20;

// Returns true for kinds of errors for which another attempt, possibly at another endpoint, can
// succeed.
bool isTransient(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Overloaded:
    case ErrorKind::Draining:
    case ErrorKind::NotOwner:
    case ErrorKind::Unavailable:
    case ErrorKind::ConnectionLost:
    case ErrorKind::EndpointFailed:
    case ErrorKind::OutcomeUnknown:
        return true;
    default:
        return false;
    }
}

} // namespace

RetryPolicy::RetryPolicy(const RetrySettings &settings)
    : m_settings(settings)
{
}

std::optional<Duration> RetryPolicy::decide(const FailedAttempt &attempt, RetryBudget &team,
                                            RetryBudget &endpoint, std::uint64_t randomBits,
                                            Instant now) const
{
    const bool hasBudget = !isCharged(attempt) || (team.canTake() && endpoint.canTake());
    if (!isRetriable(attempt) || !hasBudget) {
        return std::nullopt;
    }
    const Duration requested = attempt.error.retryAfter().value_or(Duration::zero());
    const Duration wait = std::max(delay(attempt.number, randomBits), requested);
    if (attempt.deadline < now || attempt.deadline - now < wait + m_settings.minTimeLeft) {
        return std::nullopt;
    }
    if (isCharged(attempt)) {
        team.take();
        endpoint.take();
    }
    return wait;
}

bool RetryPolicy::isCharged(const FailedAttempt &attempt)
{
    return !attempt.error.notRun() || attempt.error.kind() == ErrorKind::Overloaded;
}

bool RetryPolicy::isRetriable(const FailedAttempt &attempt) const
{
    const bool isSafe = attempt.error.notRun() || attempt.idempotent;
    return isSafe && !attempt.answerStarted && attempt.number < m_settings.maxAttempts
        && isTransient(attempt.error.kind());
}

Duration RetryPolicy::delay(std::uint32_t attempt, std::uint64_t randomBits) const
{
    const std::uint32_t doublings = std::min(attempt, kMaxDoublings);
    const Duration bound =
        std::min(m_settings.baseDelay * (std::int64_t(1) << doublings), m_settings.maxDelay);
    return Duration(static_cast<std::int64_t>(randomBits % (bound.count() + 1)));
}

} // namespace basilhall::retry
