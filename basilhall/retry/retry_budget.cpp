#include "basilhall/retry/retry_budget.h"

#include <algorithm>

namespace basilhall::retry
{

namespace
{

constexpr std::uint64_t kMilli = 1000;

} // namespace

RetryBudget::RetryBudget(const RetrySettings &settings)
    : m_perSuccessMilli(settings.perSuccessMilli)
    , m_maxMilli(settings.budgetSize * kMilli)
    , m_availableMilli(m_maxMilli)
{
}

void RetryBudget::onSuccess()
{
    m_availableMilli = std::min(m_availableMilli + m_perSuccessMilli, m_maxMilli);
}

bool RetryBudget::canTake() const
{
    return m_availableMilli >= kMilli;
}

bool RetryBudget::take()
{
    if (!canTake()) {
        return false;
    }
    m_availableMilli -= kMilli;
    return true;
}

} // namespace basilhall::retry
