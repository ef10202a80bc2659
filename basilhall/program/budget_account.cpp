#include "basilhall/program/budget_account.h"

#include <algorithm>

namespace basilhall::program
{

BudgetAccount::BudgetAccount(std::uint64_t limit)
    : m_limit(limit)
{
}

std::uint64_t BudgetAccount::available() const
{
    const std::uint64_t committed = m_spent + m_reserved;
    return committed < m_limit ? m_limit - committed : 0;
}

void BudgetAccount::reserve(std::uint64_t tokens)
{
    m_reserved += tokens;
}

void BudgetAccount::settle(std::uint64_t reserved, std::uint64_t spent)
{
    m_reserved -= std::min(m_reserved, reserved);
    m_spent += spent;
}

} // namespace basilhall::program
