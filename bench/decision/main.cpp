// Measures the cost of one decision in nanoseconds, against the numbers that must not raise it.
//
//     basilhall-decision-bench
#include "basilhall/limit/grant_cache.h"
#include "basilhall/limit/limiter.h"
#include "basilhall/route/pool.h"
#include "basilhall/schedule/fair_queue.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <vector>

using namespace basilhall;

namespace
{

constexpr Instant kNow{std::chrono::hours(1)};
constexpr std::size_t kRounds = 5;
constexpr std::size_t kDecisions = 100'000;

// Least nanoseconds for one call of `decide` over several rounds.
template<typename Decide>
double nanosEach(const Decide &decide)
{
    double least = 1e18;
    for (std::size_t round = 0; round < kRounds; ++round) {
        const auto begin = std::chrono::steady_clock::now();
        for (std::size_t count = 0; count < kDecisions; ++count) {
            decide(count);
        }
        const std::chrono::duration<double, std::nano> spent =
            std::chrono::steady_clock::now() - begin;
        least = std::min(least, spent.count() / kDecisions);
    }
    return least;
}

template<typename Name>
std::vector<Name> names(const char *prefix, std::size_t count)
{
    std::vector<Name> result;
    result.reserve(count);
    for (std::size_t number = 0; number < count; ++number) {
        result.emplace_back(prefix + std::to_string(number));
    }
    return result;
}

double routeNanos(std::size_t endpoints, std::size_t programs)
{
    std::mt19937_64 random(1);
    route::Pool pool("mati", {.maxPrograms = 400'000});
    const auto endpointNames = names<EndpointName>("endpoint-", endpoints);
    const auto programNames = names<ProgramId>("program-", programs);
    for (const EndpointName &name : endpointNames) {
        pool.setEndpoint({name, FailureDomain("a")});
        const auto running = static_cast<std::uint32_t>(random() % 8);
        pool.onReport(name, {.running = running, .capacity = 8}, kNow);
    }
    for (const ProgramId &name : programNames) {
        pool.onPrefix(endpointNames[random() % endpoints], name, 10'000);
    }
    std::vector<route::Query> queries;
    for (std::size_t count = 0; count < 4096; ++count) {
        const ProgramId &program = programNames[random() % programs];
        queries.push_back({program, 12'000, FailureDomain("a"), {}});
    }
    std::uint64_t chosen = 0;
    const double nanos = nanosEach([&](std::size_t count) {
        chosen += pool.choose(queries[count % queries.size()], count, kNow).has_value() ? 1 : 0;
    });
    return chosen > 0 ? nanos : 0;
}

// One push and one pop with `waiting` calls of `teams` teams in the queue.
double queueNanos(std::size_t waiting, std::size_t teams)
{
    std::mt19937_64 random(1);
    schedule::FairQueue queue({});
    const auto teamNames = names<TeamName>("team-", teams);
    std::uint64_t number = 0;
    const auto push = [&] {
        schedule::QueuedCall item;
        item.callId = CallId(std::to_string(++number));
        item.team = teamNames[random() % teams];
        item.estimatedTokens = 100 + random() % 200;
        item.attainedTokens = random() % 10'000;
        item.enqueued = kNow + std::chrono::milliseconds(number);
        queue.push(std::move(item));
    };
    for (std::size_t count = 0; count < waiting; ++count) {
        push();
    }
    return nanosEach([&](std::size_t) {
        push();
        queue.pop(kNow);
    });
}

double limiterNanos(std::size_t teams)
{
    limit::Limiter limiter(limit::LimitTimes{});
    limiter.onLeaseRenewed(kNow);
    const auto teamNames = names<TeamName>("team-", teams);
    for (const TeamName &name : teamNames) {
        limiter.adoptFresh({name, 0}, {1'000'000'000, 1000}, kNow);
    }
    const Incarnation host("0123456789abcdef0123456789abcdef");
    std::uint64_t number = 0;
    return nanosEach([&](std::size_t count) {
        ++number;
        const limit::GrantRequest ask{teamNames[(count * 7919) % teams], 0, number, number - 1, 1};
        limiter.acquire(host, ask, kNow + std::chrono::microseconds(number)).has_value();
    });
}

// One admission out of a grant that the host holds.
double cacheNanos(std::size_t teams)
{
    limit::GrantCache cache({});
    const auto teamNames = names<TeamName>("team-", teams);
    const Duration validity = std::chrono::hours(1);
    for (const TeamName &name : teamNames) {
        const limit::GrantActions actions = cache.admit(1, name, kNow);
        cache.onGranted(actions.grantRequests.front(), {4'000'000, validity}, kNow);
    }
    return nanosEach([&](std::size_t count) {
        const TeamName &team = teamNames[(count * 7919) % teams];
        const limit::GrantActions actions = cache.admit(2, team, kNow);
        cache.onSent(team, actions.verdicts.front().permit);
    });
}

void printRoute()
{
    std::printf("route: ns for one choice of an endpoint\n%10s", "programs");
    for (const std::size_t endpoints : {10, 12, 30, 100, 300, 690}) {
        std::printf(" %5zu ep.", endpoints);
    }
    for (const std::size_t programs : {1'000, 10'000, 100'000, 360'000}) {
        std::printf("\n%10zu", programs);
        for (const std::size_t endpoints : {10, 12, 30, 100, 300, 690}) {
            std::printf(" %9.0f", routeNanos(endpoints, programs));
        }
    }
    std::printf("\n");
}

void printQueue()
{
    std::printf("queue: ns for one push and one pop\n%10s", "waiting");
    for (const std::size_t teams : {8, 1000, 30'000}) {
        std::printf(" %5zu teams", teams);
    }
    for (const std::size_t waiting : {10, 100, 1'000, 10'000, 100'000}) {
        std::printf("\n%10zu", waiting);
        for (const std::size_t teams : {8, 1000, 30'000}) {
            std::printf(" %11.0f", queueNanos(waiting, teams));
        }
    }
    std::printf("\n");
}

void printLimit()
{
    std::printf("limit: ns for one answer of a limiter, and for one admission out of a grant\n");
    for (const std::size_t teams : {8, 1000, 30'000}) {
        std::printf("%6zu teams %9.0f %9.0f\n", teams, limiterNanos(teams), cacheNanos(teams));
    }
}

} // namespace

int main()
{
    printRoute();
    printQueue();
    printLimit();
    return 0;
}
