#include "basilhall/program/budget_account.h"

#include <boost/test/unit_test.hpp>

using basilhall::program::BudgetAccount;

BOOST_AUTO_TEST_SUITE(budget_account)

BOOST_AUTO_TEST_CASE(reservationsCountAgainstTheLimit)
{
    BudgetAccount account(100);
    account.reserve(60);
    BOOST_TEST(account.available() == 40);
    account.settle(60, 10);
    BOOST_TEST(account.available() == 90);
    BOOST_TEST(account.reserved() == 0);
}

BOOST_AUTO_TEST_CASE(nothingIsAvailableOnceTheLimitIsExceeded)
{
    BudgetAccount account(100);
    account.settle(0, 120);
    BOOST_TEST(account.available() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
