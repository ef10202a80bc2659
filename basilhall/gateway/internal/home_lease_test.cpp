#include "basilhall/gateway/internal/home_lease.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace std::chrono_literals;

namespace
{

const Instant kStart{1000s};
constexpr Duration kLength = 1400ms;

} // namespace

BOOST_AUTO_TEST_SUITE(home_lease)

BOOST_AUTO_TEST_CASE(holdsWhileItIsRenewed)
{
    HomeLease lease(kLength, kStart);
    for (Instant now = kStart; now < kStart + 10s; now += 300ms) {
        BOOST_TEST((lease.renew(now) == Duration::zero()));
        BOOST_TEST(lease.holds(now + kLength));
        BOOST_TEST(!lease.holds(now + kLength + 1ms));
    }
    BOOST_TEST(lease.lapses() == 0U);
}

// A process that stood still runs its timers late, and perhaps after it has read a request.
BOOST_AUTO_TEST_CASE(lapsesBeforeTheTimerRuns)
{
    HomeLease lease(kLength, kStart);
    const Instant awake = kStart + 3s;
    BOOST_TEST(!lease.holds(awake));
    BOOST_TEST((lease.renew(awake) == 3s));
    BOOST_TEST(!lease.holds(awake));
    BOOST_TEST((lease.renew(awake + 100ms) == Duration::zero()));
    BOOST_TEST(!lease.holds(awake + 100ms));
    lease.confirm(lease.lapses(), awake + 120ms);
    BOOST_TEST(lease.holds(awake + 120ms));
}

BOOST_AUTO_TEST_CASE(standstillDuringTheConfirmationNeedsAnotherOne)
{
    HomeLease lease(kLength, kStart);
    const Instant awake = kStart + 3s;
    (void)lease.renew(awake);
    const std::uint64_t lapses = lease.lapses();
    lease.confirm(lapses, awake + 2s);
    BOOST_TEST(!lease.holds(awake + 2s));
    lease.confirm(lease.lapses(), awake + 2100ms);
    BOOST_TEST(lease.holds(awake + 2100ms));
}

BOOST_AUTO_TEST_SUITE_END()
