#include "basilhall/limit/grant_cache.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::limit;
using namespace std::chrono_literals;

namespace
{

constexpr Instant kStart{1h};
const TeamName kTeam("haulers");
const Error kRateLimited = Error(ErrorKind::RateLimited, "at its rate").withRetryAfter(300ms);

} // namespace

BOOST_AUTO_TEST_SUITE(grant_cache)

BOOST_AUTO_TEST_CASE(callsOfARarelyUsedTeamWaitForTheLimiter)
{
    GrantCache cache({});
    const GrantActions first = cache.admit(1, kTeam, kStart);
    BOOST_TEST(first.verdicts.empty());
    BOOST_TEST(first.grantRequests.at(0).requests == 1u);
    BOOST_TEST(cache.admit(2, kTeam, kStart).grantRequests.empty());
    const GrantActions second = cache.onGranted(first.grantRequests[0], {1, 200ms}, kStart + 2ms);
    BOOST_TEST(second.verdicts.at(0).ticket == 1u);
    BOOST_TEST((second.verdicts[0].permit.expires == kStart + 200ms));
    BOOST_TEST(second.grantRequests.at(0).requests == 1u);
}

BOOST_AUTO_TEST_CASE(aGrantIsSettledOnceItsCallsAreSent)
{
    GrantCache cache({});
    const GrantActions first = cache.admit(1, kTeam, kStart);
    const GrantActions granted = cache.onGranted(first.grantRequests[0], {1, 200ms}, kStart);
    BOOST_TEST(cache.admit(2, kTeam, kStart).grantRequests.at(0).settled
               < first.grantRequests[0].number);

    GrantCache sent({});
    const GrantRequest ask = sent.admit(1, kTeam, kStart).grantRequests.at(0);
    sent.onSent(kTeam, sent.onGranted(ask, {1, 200ms}, kStart).verdicts.at(0).permit);
    BOOST_TEST(sent.admit(2, kTeam, kStart).grantRequests.at(0).settled == ask.number);
}

BOOST_AUTO_TEST_CASE(aRefusedSliceIsNotAskedAgainBeforeItsRetryTime)
{
    GrantCache cache({});
    const GrantActions first = cache.admit(1, kTeam, kStart);
    const GrantActions refused = cache.onFailed(first.grantRequests[0], kRateLimited, kStart);
    BOOST_TEST((refused.verdicts.at(0).refused->retryAfter() == 300ms));
    const GrantActions second = cache.admit(2, kTeam, kStart + 100ms);
    BOOST_TEST(second.grantRequests.empty());
    BOOST_TEST((second.verdicts.at(0).refused->retryAfter() == 200ms));
    BOOST_TEST(cache.admit(3, kTeam, kStart + 300ms).grantRequests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(allSlicesAreAskedBeforeACallIsRefused)
{
    GrantCache cache({});
    const GrantActions first = cache.admit(1, kTeam, kStart, 2);
    const GrantActions second = cache.onFailed(first.grantRequests[0], kRateLimited, kStart);
    BOOST_TEST(second.verdicts.empty());
    BOOST_TEST(second.grantRequests.at(0).slice == 1u);
    BOOST_TEST(cache.onFailed(second.grantRequests[0], kRateLimited, kStart).verdicts.size() == 1u);
}

BOOST_AUTO_TEST_CASE(slicesAreAskedRoundRobinAndTheirCountMayChange)
{
    GrantCache cache({});
    std::vector<std::uint32_t> asked;
    for (Ticket ticket = 1; ticket <= 4; ++ticket) {
        const GrantRequest ask = cache.admit(ticket, kTeam, kStart, 3).grantRequests.at(0);
        asked.push_back(ask.slice);
        cache.onGranted(ask, {1, 200ms}, kStart);
    }
    BOOST_TEST(asked == std::vector<std::uint32_t>({0, 1, 2, 0}), boost::test_tools::per_element());
    BOOST_TEST(cache.admit(5, kTeam, kStart, 1).grantRequests.at(0).slice == 0u);
}

BOOST_AUTO_TEST_CASE(lateAndRepeatedAnswersAreIgnored)
{
    GrantCache cache({});
    const GrantRequest ask = cache.admit(1, kTeam, kStart).grantRequests.at(0);
    cache.onFailed(ask, kRateLimited, kStart);
    BOOST_TEST(cache.onGranted(ask, {5, 1s}, kStart).verdicts.empty());
    BOOST_TEST(!cache.admit(2, kTeam, kStart).verdicts.empty());
}

BOOST_AUTO_TEST_CASE(grantsOfABusyTeamArePrefetched)
{
    GrantCache cache({});
    Instant now = kStart;
    std::size_t asks = 0;
    std::size_t admitted = 0;
    for (Ticket ticket = 1; ticket <= 2000; ++ticket) {
        now += 1ms;
        GrantActions actions = cache.admit(ticket, kTeam, now);
        while (!actions.grantRequests.empty() || !actions.verdicts.empty()) {
            admitted += actions.verdicts.size();
            for (const Verdict &verdict : actions.verdicts) {
                cache.onSent(kTeam, verdict.permit);
            }
            if (actions.grantRequests.empty()) {
                break;
            }
            const GrantRequest ask = actions.grantRequests.front();
            ++asks;
            actions = cache.onGranted(ask, {ask.requests, 1s}, now);
        }
    }
    BOOST_TEST(admitted == 2000u);
    BOOST_TEST(asks < 100u);
}

BOOST_AUTO_TEST_CASE(idleTeamsAreForgotten)
{
    GrantCache cache({});
    const GrantRequest ask = cache.admit(1, kTeam, kStart).grantRequests.at(0);
    cache.forgetIdle(kStart + 1h);
    BOOST_TEST(cache.teamCount() == 1u);
    cache.onGranted(ask, {1, 200ms}, kStart);
    cache.forgetIdle(kStart + 1h);
    BOOST_TEST(cache.teamCount() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
