#include "basilhall/retry/retry_policy.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::retry;
using namespace std::chrono_literals;

namespace
{

constexpr Instant kStart{1h};
const RetrySettings kSettings;

FailedAttempt failed(const Error &error, bool idempotent)
{
    return FailedAttempt{.idempotent = idempotent, .error = error, .deadline = kStart + 10s};
}

bool isRetried(const FailedAttempt &attempt)
{
    RetryBudget team(kSettings);
    RetryBudget endpoint(kSettings);
    return RetryPolicy(kSettings).decide(attempt, team, endpoint, 12345, kStart).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_policy)

BOOST_AUTO_TEST_CASE(onlyCallsThatDidNotRunOrAreIdempotentAreRetried)
{
    const Error lost(ErrorKind::ConnectionLost, "connection lost");
    BOOST_TEST(!isRetried(failed(lost, false)));
    BOOST_TEST(isRetried(failed(lost, true)));
    BOOST_TEST(isRetried(failed(lost.withNotRun(), false)));
    const Error unknown(ErrorKind::OutcomeUnknown, "outcome unknown");
    BOOST_TEST(!isRetried(failed(unknown, false)));
}

BOOST_AUTO_TEST_CASE(finalErrorsAndStartedAnswersAreNotRetried)
{
    const Error refused = Error(ErrorKind::RateLimited, "at its rate").withNotRun();
    BOOST_TEST(!isRetried(failed(refused, true)));
    FailedAttempt started = failed(Error(ErrorKind::ConnectionLost, "connection lost"), true);
    started.answerStarted = true;
    BOOST_TEST(!isRetried(started));
    started.answerStarted = false;
    started.number = kSettings.maxAttempts;
    BOOST_TEST(!isRetried(started));
}

BOOST_AUTO_TEST_CASE(aRetryMustFitTheDeadline)
{
    const Error busy = Error(ErrorKind::Overloaded, "queue full").withNotRun();
    BOOST_TEST(!isRetried(failed(busy.withRetryAfter(11s), false)));
    BOOST_TEST(isRetried(failed(busy.withRetryAfter(1s), false)));
    FailedAttempt past = failed(busy, false);
    past.deadline = kStart - 1s;
    BOOST_TEST(!isRetried(past));
}

BOOST_AUTO_TEST_CASE(onlyRepeatedWorkAndOverloadRefusalsAreCharged)
{
    const RetryPolicy policy(kSettings);
    const Error lost(ErrorKind::ConnectionLost, "connection lost");
    const Error busy = Error(ErrorKind::Overloaded, "queue full").withNotRun();
    const auto countRetries = [&](const Error &error) {
        RetryBudget team(kSettings);
        RetryBudget endpoint(kSettings);
        std::uint32_t count = 0;
        while (count < 100
               && policy.decide(failed(error, true), team, endpoint, 12345, kStart).has_value()) {
            ++count;
        }
        return count;
    };
    BOOST_TEST(countRetries(lost) == kSettings.budgetSize);
    BOOST_TEST(countRetries(busy) == kSettings.budgetSize);
    BOOST_TEST(countRetries(lost.withNotRun()) == 100u);
}

BOOST_AUTO_TEST_CASE(retriesAreLimitedToAFractionOfTheSuccesses)
{
    RetryBudget budget(kSettings);
    std::uint32_t initialRetries = 0;
    while (budget.take()) {
        ++initialRetries;
    }
    BOOST_TEST(initialRetries == kSettings.budgetSize);
    std::uint32_t retries = 0;
    for (int success = 0; success < 1000; ++success) {
        budget.onSuccess();
        while (budget.take()) {
            ++retries;
        }
    }
    BOOST_TEST(retries == 1000 * kSettings.perSuccessMilli / 1000);
}

BOOST_AUTO_TEST_CASE(delaysGrowUpToTheirMaximum)
{
    const RetryPolicy policy(kSettings);
    Duration largest{};
    for (std::uint64_t random = 0; random < 1000; ++random) {
        largest = std::max(largest, policy.delay(1, random * 0x9e3779b97f4a7c15ULL));
        BOOST_TEST((policy.delay(60, random * 0x9e3779b97f4a7c15ULL) <= kSettings.maxDelay));
    }
    BOOST_TEST((largest <= 2 * kSettings.baseDelay));
    BOOST_TEST((largest > kSettings.baseDelay));
}

BOOST_AUTO_TEST_SUITE_END()
