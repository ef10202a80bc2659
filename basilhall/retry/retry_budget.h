// Limits retries to a fraction of the successful calls, so that retries do not amplify an overload.
//
//     RetryBudget budget(settings);
//     budget.onSuccess();
//     if (budget.take()) { ... }   // one retry is allowed
#pragma once

#include "basilhall/retry/retry_settings.h"

namespace basilhall::retry
{

// Not thread-safe. One per team and one per endpoint.
class RetryBudget
{
public:
    // Starts with `settings.budgetSize` retries.
    explicit RetryBudget(const RetrySettings &settings);

    void onSuccess();
    bool canTake() const;
    // Takes one retry. Returns false if the budget is used up.
    bool take();

private:
    // Retries in 1/1000.
    std::uint64_t m_perSuccessMilli;
    std::uint64_t m_maxMilli;
    std::uint64_t m_availableMilli;
};

} // namespace basilhall::retry
