// The budget of generated tokens that a root program shares with its sub-agents.
//
//     BudgetAccount account(1000);
//     account.reserve(200);       // before a call
//     account.settle(200, 150);   // after the call: releases the reservation, adds what was spent
//     account.available();        // 850
#pragma once

#include <compare>
#include <cstdint>

namespace basilhall::program
{

// Not thread-safe. All amounts in tokens.
class BudgetAccount
{
public:
    explicit BudgetAccount(std::uint64_t limit);

    std::uint64_t limit() const { return m_limit; }
    std::uint64_t spent() const { return m_spent; }
    std::uint64_t reserved() const { return m_reserved; }
    // Tokens that are neither spent nor reserved; 0 if an endpoint exceeded its reservation and the
    // limit.
    std::uint64_t available() const;

    void reserve(std::uint64_t tokens);
    // Releases a reservation of `reserved` tokens and adds `spent` to the spent tokens.
    void settle(std::uint64_t reserved, std::uint64_t spent);

    auto operator<=>(const BudgetAccount &) const = default;

private:
    std::uint64_t m_limit;
    std::uint64_t m_spent = 0;
    std::uint64_t m_reserved = 0;
};

} // namespace basilhall::program
