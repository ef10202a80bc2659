#include "basilhall/route/pool.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace basilhall;
using namespace basilhall::route;
using namespace std::chrono_literals;

namespace
{

constexpr Instant kStart{1h};
const EndpointLoad kIdle{.capacity = 4};
const EndpointLoad kBusy{.running = 4, .queued = 40, .capacity = 4, .queuedTokens = 4000};

EndpointName endpoint(int number)
{
    return EndpointName("e" + std::to_string(number));
}

Pool pool(int size, const RouteSettings &settings = {})
{
    Pool result("mati", settings);
    for (int number = 0; number < size; ++number) {
        result.setEndpoint({endpoint(number), FailureDomain("a")});
        result.onReport(endpoint(number), kIdle, kStart);
    }
    return result;
}

Query query(const char *program = "p", std::uint64_t promptTokens = 1000)
{
    return Query{ProgramId(program), promptTokens, FailureDomain("a"), {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_pool)

BOOST_AUTO_TEST_CASE(unusableEndpointsAreNotChosen)
{
    Pool p = pool(4);
    p.setLeaving(endpoint(0), true);
    EndpointLoad unhealthy = kIdle;
    unhealthy.healthy = false;
    p.onReport(endpoint(1), unhealthy, kStart);
    EndpointLoad draining = kIdle;
    draining.draining = true;
    p.onReport(endpoint(2), draining, kStart);
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        BOOST_TEST(p.choose(query(), seed, kStart).value().endpoint == endpoint(3));
    }
    const Result<Choice> late = p.choose(query(), 1, kStart + 4s);
    BOOST_TEST((late.error().kind() == ErrorKind::Unavailable));
    BOOST_TEST(late.error().notRun());
}

BOOST_AUTO_TEST_CASE(endpointWithoutAReportIsNotChosen)
{
    Pool p("mati", {});
    p.setEndpoint({endpoint(0), FailureDomain("a")});
    BOOST_TEST(!p.choose(query(), 1, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(endpointWithTheCachedPrefixIsChosenUnlessItsWaitCostsMore)
{
    Pool p = pool(100);
    p.onPrefix(endpoint(42), ProgramId("p"), 20000);
    const Choice choice = p.choose(query("p", 20000), 7, kStart).value();
    BOOST_TEST(choice.endpoint == endpoint(42));
    BOOST_TEST(choice.expectedCachedTokens == 20000u);
    p.onReport(endpoint(42), kBusy, kStart);
    BOOST_TEST(p.choose(query("p", 20000), 7, kStart).value().endpoint != endpoint(42));
}

BOOST_AUTO_TEST_CASE(waitDoesNotDependOnTheAgentsTokenEstimate)
{
    EndpointState state({endpoint(0), FailureDomain("a")});
    const RouteSettings settings;
    EndpointLoad load = kBusy;
    state.onReport(load, kStart, settings);
    const double wait = state.waitSeconds(settings);
    load.queuedTokens = 400'000;
    state.onReport(load, kStart, settings);
    BOOST_TEST(state.waitSeconds(settings) == wait);
}

BOOST_AUTO_TEST_CASE(callsSentSinceTheReportCountAsLoad)
{
    Pool p = pool(8);
    std::set<EndpointName> used;
    for (int call = 0; call < 8; ++call) {
        const CallId id("c" + std::to_string(call));
        const Choice choice = p.choose(query(), 7, kStart).value();
        p.onSent(choice.endpoint, id, 500, kStart);
        used.insert(choice.endpoint);
    }
    BOOST_TEST(used.size() == 8u);
}

BOOST_AUTO_TEST_CASE(reportReplacesCallsSentBeforeIt)
{
    EndpointState state({endpoint(0), FailureDomain("a")});
    const RouteSettings settings;
    state.onSent(CallId("seen"), 500, kStart);
    state.onSent(CallId("unseen"), 500, kStart + 1s);
    state.onReport({.running = 1, .capacity = 4}, kStart + 1s, settings);
    BOOST_TEST(state.pendingCalls() == 2u);
    state.onFinished(CallId("seen"));
    BOOST_TEST(state.pendingCalls() == 1u);
    state.onFinished(CallId("unseen"));
    BOOST_TEST(state.pendingCalls() == 0u);
}

BOOST_AUTO_TEST_CASE(excludedEndpointsAreNotChosen)
{
    Pool p = pool(2);
    Query second = query();
    second.excluded = {endpoint(0)};
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        BOOST_TEST(p.choose(second, seed, kStart).value().endpoint == endpoint(1));
    }
}

BOOST_AUTO_TEST_CASE(removalKeepsThePrefixesOfOtherEndpoints)
{
    Pool p = pool(40);
    p.onPrefix(endpoint(39), ProgramId("p"), 50000);
    p.removeEndpoint(endpoint(3));
    p.removeEndpoint(endpoint(3));
    BOOST_TEST(p.size() == 39u);
    BOOST_TEST(p.choose(query("p", 50000), 5, kStart).value().endpoint == endpoint(39));
    p.removeEndpoint(endpoint(39));
    BOOST_TEST(p.choose(query("p", 50000), 5, kStart).value().expectedCachedTokens == 0u);
}

BOOST_AUTO_TEST_CASE(cacheMissesLowerTheExpectedCachedTokens)
{
    Pool p = pool(1);
    p.onPrefix(endpoint(0), ProgramId("p"), 1000);
    for (int count = 0; count < 50; ++count) {
        p.onPrefixUsed(endpoint(0), 1000, 0);
    }
    BOOST_TEST(p.choose(query(), 1, kStart).value().expectedCachedTokens < 100u);
}

BOOST_AUTO_TEST_CASE(onlyUsableEndpointOfALargePoolIsFound)
{
    Pool p = pool(690);
    p.onReport(endpoint(345), kIdle, kStart + 10s);
    BOOST_TEST(p.choose(query(), 9, kStart + 10s).value().endpoint == endpoint(345));
}

BOOST_AUTO_TEST_SUITE_END()
