#include "basilhall/limit/limiter.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::limit;
using namespace std::chrono_literals;

namespace
{

constexpr Instant kStart{1h};
const TeamName kTeam("haulers");
const Incarnation kHost("a");
const LimitTimes kTimes;

GrantRequest ask(std::uint64_t number, std::uint32_t requests, std::uint64_t settled = 0)
{
    return GrantRequest{kTeam, 0, number, settled, requests};
}

Limiter leasedLimiter()
{
    Limiter limiter(kTimes);
    limiter.onLeaseRenewed(kStart);
    return limiter;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limiter)

BOOST_AUTO_TEST_CASE(grantsOnlyWithinTheLease)
{
    Limiter limiter(kTimes);
    limiter.adoptFresh({kTeam, 0}, {1000, 5}, kStart);
    BOOST_TEST(
        (limiter.acquire(kHost, ask(1, 1), kStart).error().kind() == ErrorKind::Unavailable));
    limiter.onLeaseRenewed(kStart);
    BOOST_TEST(limiter.acquire(kHost, ask(2, 1), kStart).has_value());
    const Result<Grant> late = limiter.acquire(kHost, ask(3, 1), kStart + kTimes.lease);
    BOOST_TEST((late.error().kind() == ErrorKind::Unavailable));
    BOOST_TEST(late.error().notRun());
}

BOOST_AUTO_TEST_CASE(aReleasedSliceKeepsItsRemainingRequests)
{
    Limiter before{LimitTimes()};
    before.onLeaseRenewed(kStart);
    before.adoptFresh({TeamName("t"), 0}, Rate{1000, 20}, kStart);
    BOOST_TEST(before.acquire(kHost, {TeamName("t"), 0, 1, 0, 5}, kStart).has_value());
    const std::uint32_t left = before.remaining({TeamName("t"), 0}, kStart);
    BOOST_TEST(left == 15U);
    Limiter after{LimitTimes()};
    after.onLeaseRenewed(kStart + 2s);
    after.adoptReleased({TeamName("t"), 0}, Rate{1000, 20}, left, kStart + 2s);
    BOOST_TEST(!after.acquire(kHost, {TeamName("t"), 0, 1, 0, 1}, kStart + 1s).has_value());
    const auto grant = after.acquire(kHost, {TeamName("t"), 0, 2, 0, 20}, kStart + 2s);
    BOOST_TEST(grant.value().requests == left);
    BOOST_TEST(before.remaining({TeamName("t"), 0}, kStart + 1h) == 0U, "outside its lease");
}

BOOST_AUTO_TEST_CASE(aSuccessorStartsEmptyAfterItsWait)
{
    Limiter limiter = leasedLimiter();
    limiter.adoptAfter({kTeam, 0}, {1000, 5}, kStart + 2s);
    BOOST_TEST((limiter.acquire(kHost, ask(1, 1), kStart + 1s).error().retryAfter() == 1s));
    BOOST_TEST(!limiter.acquire(kHost, ask(2, 1), kStart + 2s).has_value());
    BOOST_TEST(limiter.acquire(kHost, ask(3, 1), kStart + 3s).has_value());
}

BOOST_AUTO_TEST_CASE(aRepeatedAskGetsTheSameGrant)
{
    Limiter limiter = leasedLimiter();
    limiter.adoptFresh({kTeam, 0}, {1, 5}, kStart);
    BOOST_TEST(limiter.acquire(kHost, ask(1, 3), kStart).value().requests == 3u);
    BOOST_TEST(limiter.acquire(kHost, ask(1, 3), kStart).value().requests == 3u);
    BOOST_TEST(limiter.acquire(kHost, ask(2, 3), kStart).value().requests == 2u);
    BOOST_TEST(!limiter.acquire(kHost, ask(3, 3), kStart).has_value());
}

BOOST_AUTO_TEST_CASE(grantsAreOutstandingUntilSettledOrExpired)
{
    Limiter limiter = leasedLimiter();
    limiter.adoptFresh({kTeam, 0}, {10'000'000, 5}, kStart);
    limiter.acquire(kHost, ask(1, 5), kStart).value();
    const Result<Grant> refused = limiter.acquire(Incarnation("b"), ask(1, 1), kStart + 500ms);
    BOOST_TEST((refused.error().kind() == ErrorKind::RateLimited));
    BOOST_TEST((refused.error().retryAfter() == kTimes.validity + kTimes.maxSendDelay - 500ms));
    BOOST_TEST(!limiter.acquire(kHost, ask(2, 1, 1), kStart + 500ms).has_value());
    BOOST_TEST(limiter.acquire(kHost, ask(3, 1, 1), kStart + 501ms).has_value());
}

BOOST_AUTO_TEST_CASE(aHostListedSliceGrantsWithoutALease)
{
    Limiter limiter(kTimes);
    limiter.adoptFresh({kTeam, 0}, {1000, 5}, kStart);
    limiter.adoptFresh({kTeam, 1}, {1000, 5}, kStart, Tenure::HostListed);
    GrantRequest hostListed = ask(1, 1);
    hostListed.slice = 1;
    BOOST_TEST(!limiter.acquire(kHost, ask(1, 1), kStart + 1h).has_value());
    BOOST_TEST(limiter.acquire(kHost, hostListed, kStart + 1h).has_value());

    Limiter successor(kTimes);
    const Instant from = kStart + 1h + kTimes.hostListedWait();
    successor.adoptAfter({kTeam, 1}, {1000, 5}, from, Tenure::HostListed);
    BOOST_TEST(!successor.acquire(kHost, hostListed, from - 1ms).has_value());
    BOOST_TEST(successor.acquire(kHost, hostListed, from + 1s).has_value());
}

BOOST_AUTO_TEST_CASE(acquireOfADroppedSliceFailsWithNotOwner)
{
    Limiter limiter = leasedLimiter();
    limiter.adoptFresh({kTeam, 0}, {1000, 5}, kStart);
    limiter.drop({kTeam, 0});
    BOOST_TEST((limiter.acquire(kHost, ask(1, 1), kStart).error().kind() == ErrorKind::NotOwner));
}

BOOST_AUTO_TEST_SUITE_END()
