#include "basilhall/placement/placement.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::placement;
using namespace std::chrono_literals;

namespace
{

const Instant kNow{};
const fleet::EngineTraits kEngine{4, 100'000, 23};

fleet::Endpoint endpoint(const std::string &name, const std::string &domain)
{
    fleet::Endpoint result;
    result.name = EndpointName(name);
    result.service = "engines";
    result.failureDomain = FailureDomain(domain);
    result.slots = 4;
    result.startedAt = 1;
    return result;
}

struct Fixture {
    Fixture()
    {
        placement.setEndpoint(endpoint("near", "a"), kEngine);
        placement.setEndpoint(endpoint("far", "b"), kEngine);
    }

    std::string choose(const Work &work, const std::set<EndpointName> &excluded = {})
    {
        const fleet::Endpoint *chosen = placement.choose(work, excluded, 0, kNow);
        return chosen == nullptr ? "" : chosen->name.value();
    }

    Placement placement{FailureDomain("a")};
    const Work first{"engines", {{1, 12'600}, {2, 800}}, 14'000};
    const Work next{"engines", {{1, 12'600}, {2, 1'800}}, 15'000};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(placement_choice, Fixture)

BOOST_AUTO_TEST_CASE(endpointWithTheCachedPrefixIsChosen)
{
    placement.onPeerUse({EndpointName("far"), first.prompt});
    BOOST_TEST(choose(next) == "far");
}

BOOST_AUTO_TEST_CASE(fullEngineIsNotChosenDespiteItsCachedPrefix)
{
    placement.onPeerUse({EndpointName("far"), first.prompt});
    placement.onPeerLoad(Incarnation("p"), EndpointName("far"), {12, 50'000});
    BOOST_TEST(choose(next) == "near");
    placement.onPeerLost(Incarnation("p"));
    BOOST_TEST(choose(next) == "far");
}

BOOST_AUTO_TEST_CASE(leavingAndSuspendedEndpointsGetNoRequests)
{
    fleet::Endpoint leaving = endpoint("near", "a");
    leaving.isLeaving = true;
    placement.setEndpoint(leaving, kEngine);
    BOOST_TEST(choose(first) == "far");
    placement.suspend(EndpointName("far"), kNow + 1s);
    BOOST_TEST(choose(first).empty());
    BOOST_TEST(placement.choose(first, {}, 0, kNow + 1s) != nullptr);
}

BOOST_AUTO_TEST_CASE(restartUnderTheSameNameClearsTheCache)
{
    placement.onPeerUse({EndpointName("far"), first.prompt});
    fleet::Endpoint restarted = endpoint("far", "b");
    restarted.startedAt = 2;
    placement.setEndpoint(restarted, kEngine);
    BOOST_TEST(choose(next) == "near");
}

BOOST_AUTO_TEST_CASE(excludedEndpointsAreNotChosen)
{
    BOOST_TEST(choose(first, {EndpointName("near")}) == "far");
    BOOST_TEST(choose(first, {EndpointName("near"), EndpointName("far")}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
