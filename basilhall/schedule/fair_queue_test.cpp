#include "basilhall/schedule/fair_queue.h"
#include "basilhall/schedule/fifo_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace basilhall;
using namespace basilhall::schedule;
using namespace std::chrono_literals;

namespace
{

constexpr Instant kStart{1h};

QueuedCall item(int number, const char *team, std::uint64_t tokens = 100)
{
    QueuedCall result;
    result.callId = CallId("call-" + std::to_string(number));
    result.team = TeamName(team);
    result.estimatedTokens = tokens;
    result.enqueued = kStart;
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_queue)

BOOST_AUTO_TEST_CASE(aCallIsQueuedOnceAndCanBeRemoved)
{
    FairQueue queue({});
    BOOST_TEST(queue.push(item(1, "a")));
    BOOST_TEST(!queue.push(item(1, "a")));
    BOOST_TEST(queue.queuedTokens() == 100u);
    BOOST_TEST(queue.remove(CallId("call-1")));
    BOOST_TEST(!queue.remove(CallId("call-1")));
    BOOST_TEST(queue.size() == 0u);
    BOOST_TEST(queue.queuedTokens() == 0u);
    BOOST_TEST(!queue.pop(kStart).has_value());
}

BOOST_AUTO_TEST_CASE(teamsShareTokensByWeight)
{
    FairQueue queue({});
    for (int number = 0; number < 4000; ++number) {
        QueuedCall next = item(number, number % 4 == 0 ? "small" : "large");
        next.weight = number % 4 == 0 ? 1 : 2;
        queue.push(next);
    }
    std::map<TeamName, int> served;
    for (int count = 0; count < 900; ++count) {
        ++served[queue.pop(kStart)->team];
    }
    BOOST_TEST(std::abs(served[TeamName("small")] - 300) <= 2);
    BOOST_TEST(std::abs(served[TeamName("large")] - 600) <= 2);
}

BOOST_AUTO_TEST_CASE(aTeamGainsNoCreditWhileIdle)
{
    FairQueue queue({});
    for (int number = 0; number < 100; ++number) {
        queue.push(item(number, "busy"));
    }
    for (int count = 0; count < 50; ++count) {
        queue.pop(kStart);
    }
    for (int number = 100; number < 110; ++number) {
        queue.push(item(number, "new"));
    }
    int served = 0;
    for (int count = 0; count < 10; ++count) {
        served += queue.pop(kStart)->team == TeamName("new") ? 1 : 0;
    }
    BOOST_TEST(served >= 4);
    BOOST_TEST(served <= 6);
}

BOOST_AUTO_TEST_CASE(settlingCorrectsTheEstimate)
{
    FairQueue queue({});
    for (int number = 0; number < 40; ++number) {
        queue.push(item(number, number % 2 == 0 ? "a" : "b"));
    }
    const QueuedCall first = *queue.pop(kStart);
    queue.settle(first, 100 + 500);
    for (int count = 0; count < 5; ++count) {
        BOOST_TEST(queue.pop(kStart)->team != first.team);
    }
}

BOOST_AUTO_TEST_CASE(leastAttainedServiceRunsFirstUnlessAgingOutweighsIt)
{
    FairQueue queue({.agingTokensPerSecond = 100});
    QueuedCall large = item(1, "a");
    large.attainedTokens = 1000;
    QueuedCall small = item(2, "a");
    small.enqueued = kStart + 1s;
    QueuedCall late = item(3, "a");
    late.enqueued = kStart + 11s;
    queue.push(large);
    queue.push(late);
    queue.push(small);
    BOOST_TEST(queue.pop(kStart)->callId == small.callId);
    BOOST_TEST(queue.pop(kStart)->callId == large.callId);
    BOOST_TEST(queue.pop(kStart)->callId == late.callId);
}

BOOST_AUTO_TEST_CASE(callsOfOlderProgramsRunFirstUnlessTheyAttainedMore)
{
    FairQueue queue({.agingTokensPerSecond = 100});
    QueuedCall fresh = item(1, "a");
    fresh.programStarted = kStart;
    QueuedCall old = item(2, "a");
    old.programStarted = kStart - 60s;
    old.attainedTokens = 5000;
    QueuedCall heavy = item(3, "a");
    heavy.programStarted = kStart - 60s;
    heavy.attainedTokens = 7000;
    queue.push(heavy);
    queue.push(fresh);
    queue.push(old);
    BOOST_TEST(queue.pop(kStart)->callId == old.callId);
    BOOST_TEST(queue.pop(kStart)->callId == fresh.callId);
    BOOST_TEST(queue.pop(kStart)->callId == heavy.callId);
}

BOOST_AUTO_TEST_CASE(urgentCallsRunFirstButDoNotStarveLowerClasses)
{
    FairQueue queue({.maxUrgentSharePerMille = 800, .classBurstTokens = 1000});
    for (int number = 0; number < 2000; ++number) {
        QueuedCall next = item(number, "a");
        next.priority = number < 1000 ? PriorityClass::Normal : PriorityClass::Urgent;
        queue.push(next);
    }
    int urgent = 0;
    for (int count = 0; count < 1000; ++count) {
        const bool isUrgent = queue.pop(kStart)->priority == PriorityClass::Urgent;
        urgent += isUrgent ? 1 : 0;
        BOOST_TEST((isUrgent || count >= 10));
    }
    BOOST_TEST(urgent >= 790);
    BOOST_TEST(urgent <= 850);
}

BOOST_AUTO_TEST_CASE(idleTeamsAreForgotten)
{
    ClassQueue queue;
    for (int number = 0; number < 1000; ++number) {
        const TeamName team("team-" + std::to_string(number));
        const TeamQueue::Rank rank{0, static_cast<std::uint64_t>(number)};
        queue.insert(team, rank);
        queue.charge(team, 10, 1);
        queue.erase(team, rank);
    }
    BOOST_TEST(queue.teamCount() <= 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(fifoQueueKeepsTheOrderOfArrival)
{
    FifoQueue queue;
    queue.push(item(1, "a"));
    queue.push(item(2, "b"));
    queue.push(item(3, "a"));
    BOOST_TEST(queue.remove(CallId("call-2")));
    BOOST_TEST(queue.pop(kStart)->callId == CallId("call-1"));
    BOOST_TEST(queue.pop(kStart)->callId == CallId("call-3"));
    BOOST_TEST(queue.queuedTokens() == 0u);
}
