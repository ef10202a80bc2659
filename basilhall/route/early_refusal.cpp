#include "basilhall/route/early_refusal.h"

#include <algorithm>

namespace basilhall::route
{

namespace
{

constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::minutes(5);

} // namespace

std::optional<Error> refuseEarly(const EarlyRefusalSettings &settings, const Arrival &arrival,
                                 const Choice &choice)
{
    if (settings.maxWait == Duration::zero() || !arrival.isNewProgram || arrival.isUrgent) {
        return std::nullopt;
    }
    const double maxWaitSeconds = std::chrono::duration<double>(settings.maxWait).count();
    if (choice.waitSeconds <= maxWaitSeconds) {
        return std::nullopt;
    }
    const double excessSeconds = std::min(choice.waitSeconds - maxWaitSeconds,
                                          std::chrono::duration<double>(kMaxRetryAfter).count());
    const Duration retryAfter(static_cast<std::int64_t>(excessSeconds * 1e9));
    return Error(ErrorKind::Overloaded,
                 "the expected wait at every endpoint exceeds the limit for new programs")
        .withNotRun()
        .withRetryAfter(std::max(retryAfter, kMinRetryAfter));
}

} // namespace basilhall::route
