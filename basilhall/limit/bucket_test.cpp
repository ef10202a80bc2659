#include "basilhall/limit/bucket.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::limit;
using namespace std::chrono_literals;

namespace
{

constexpr Instant kStart{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(bucket)

BOOST_AUTO_TEST_CASE(startsFullAndRefillsAtItsRate)
{
    Bucket bucket({2000, 4}, kStart);
    BOOST_TEST(bucket.take(4, kStart));
    bucket.settle(4, kStart);
    BOOST_TEST(!bucket.take(1, kStart + 499ms));
    BOOST_TEST(bucket.take(1, kStart + 500ms));
}

BOOST_AUTO_TEST_CASE(frequentReadsDoNotLoseFractions)
{
    Bucket bucket({333, 1000}, kStart);
    bucket.take(1000, kStart);
    bucket.settle(1000, kStart);
    Instant now = kStart;
    while (now < kStart + 1000s) {
        now += 1234567ns;
        bucket.available(now);
    }
    BOOST_TEST(bucket.available(kStart + 1001s) == 333u);
}

BOOST_AUTO_TEST_CASE(outstandingRequestsLimitTheRefill)
{
    Bucket bucket({1000, 10}, kStart);
    bucket.take(8, kStart);
    BOOST_TEST(bucket.available(kStart + 1h) == 2u);
    bucket.settle(8, kStart + 1h);
    BOOST_TEST(bucket.available(kStart + 1h) == 2u);
    BOOST_TEST(bucket.available(kStart + 1h + 8s) == 10u);
}

BOOST_AUTO_TEST_CASE(aLowerBurstAppliesImmediately)
{
    Bucket bucket({1000, 10}, kStart);
    bucket.setRate({1000, 3}, kStart);
    BOOST_TEST(bucket.available(kStart) == 3u);
    bucket.setRate({1000, 10}, kStart);
    BOOST_TEST(bucket.available(kStart) == 3u);
}

BOOST_AUTO_TEST_CASE(extremeRatesDoNotOverflow)
{
    Bucket bucket({~0ULL, ~0U}, kStart);
    BOOST_TEST(bucket.take(kMaxBurst, kStart));
    bucket.settle(kMaxBurst, kStart);
    BOOST_TEST(bucket.available(kStart + 24h * 365) == kMaxBurst);
    Bucket never({0, 0}, kStart);
    BOOST_TEST(!never.nextAvailable(kStart + 1h).has_value());
}

BOOST_AUTO_TEST_CASE(slicesAddUpToTheTeamLimit)
{
    for (const Rate rate : {Rate{1, 1}, Rate{5000, 10}, Rate{777, 5}, Rate{9, 2}}) {
        for (const std::uint32_t count : {1u, 2u, 3u, 7u}) {
            Rate sum;
            for (std::uint32_t index = 0; index < count; ++index) {
                const Rate slice = sliceOf(rate, index, count);
                BOOST_TEST((slice.burst > 0 || slice.milliPerSecond == 0));
                sum.burst += slice.burst;
                sum.milliPerSecond += slice.milliPerSecond;
            }
            BOOST_TEST((sum == rate));
        }
    }
}

BOOST_AUTO_TEST_CASE(smallBurstsAreNotSliced)
{
    BOOST_TEST(slicesFor({1000, 0}, 3) == 1u);
    BOOST_TEST(slicesFor({1000, 2 * kMinSliceBurst - 1}, 3) == 1u);
    BOOST_TEST(slicesFor({1000, 2 * kMinSliceBurst}, 3) == 2u);
    BOOST_TEST(slicesFor({1000, 100 * kMinSliceBurst}, 3) == 3u);
}

BOOST_AUTO_TEST_SUITE_END()
