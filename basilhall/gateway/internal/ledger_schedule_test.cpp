#include "basilhall/gateway/internal/ledger_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ledger_schedule)

BOOST_AUTO_TEST_CASE(smallLedgersFollowEachOtherInTheShortestInterval)
{
    LedgerSchedule schedule;
    const Instant start{10s};
    BOOST_TEST(schedule.isDue(start));
    schedule.onWritten(1'000, start);
    BOOST_TEST(!schedule.isDue(start + LedgerSchedule::kMinInterval - 1ms));
    BOOST_TEST(schedule.isDue(start + LedgerSchedule::kMinInterval));
}

// On a host that writes for 90 others, a seventh of the processor time went into ledgers.
BOOST_AUTO_TEST_CASE(largeLedgersDoNotTakeMoreTimeTheLargerTheyAre)
{
    const Duration small = LedgerSchedule::interval(LedgerSchedule::kSmallLedgerBytes);
    BOOST_TEST((small == LedgerSchedule::kMinInterval));
    BOOST_TEST(
        (LedgerSchedule::interval(LedgerSchedule::kSmallLedgerBytes * 3 / 2) == small * 3 / 2));
    BOOST_TEST((LedgerSchedule::interval(SIZE_MAX) == LedgerSchedule::kMaxInterval));
}

BOOST_AUTO_TEST_CASE(failedWriteOfALargeLedgerIsRepeatedSoon)
{
    LedgerSchedule schedule;
    const Instant start{10s};
    schedule.onWritten(SIZE_MAX, start);
    schedule.onFailed(start + 500ms);
    BOOST_TEST(schedule.isDue(start + 500ms + LedgerSchedule::kMinInterval));
}

BOOST_AUTO_TEST_SUITE_END()
