// A host that was out of step while endpoints of a new version joined must not take the version
// that it knows for the only one (ORDER).

#include "basilhall/gateway/testing/mesh_fixture.h"

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

namespace
{

const Instant kStart{1000s};
const std::string kService = "models";

fleet::Endpoint endpoint(const std::string &name, const std::string &version)
{
    fleet::Endpoint made;
    made.name = EndpointName(name);
    made.service = kService;
    made.version = version;
    return made;
}

struct OneVersion {
    OneVersion() { state.replaceEndpoints({endpoint("old", "v1")}, false, kStart - 60s); }

    bool knowsOnlyVersion(Instant now) const
    {
        return state.onlyVersion(kService, 5s, now).has_value();
    }

    FleetState state{Incarnation("self-1"), FailureDomain("a")};
};

} // namespace

BOOST_AUTO_TEST_SUITE(list_currency)

BOOST_FIXTURE_TEST_CASE(hostThatStoodStillDoesNotTrustItsList, OneVersion)
{
    state.onTick(kStart);
    state.noteEndpointsCurrent(kStart);
    BOOST_TEST(knowsOnlyVersion(kStart));
    const Instant awake = kStart + 5s;
    BOOST_TEST(!knowsOnlyVersion(awake));
    // What arrives first may have waited in the sockets of the host.
    state.noteEndpointsCurrent(awake);
    BOOST_TEST(!knowsOnlyVersion(awake));
    state.onTick(awake);
    state.noteEndpointsCurrent(awake + 300ms);
    BOOST_TEST(!knowsOnlyVersion(awake + 300ms));
    for (const Duration later : {300ms, 600ms, 900ms, 1200ms}) {
        state.onTick(awake + later);
        state.noteEndpointsCurrent(awake + later);
    }
    BOOST_TEST(knowsOnlyVersion(awake + 1200ms));
}

BOOST_FIXTURE_TEST_CASE(hostThatIsCutOffDoesNotTrustItsList, MeshFixture)
{
    connect();
    weak->mesh.setWatchingStore(true);
    flushUntil([this] { return weak->state.endpointsCurrentAt().has_value(); });
    // The others fall silent; the watch of this host may hear nothing, too.
    const auto flushFor = [this](int times) {
        for (int i = 0; i < times; ++i) {
            wait(100ms);
            weak->mesh.flush();
        }
    };
    flushFor(12);
    const auto current = weak->state.endpointsCurrentAt();
    flushFor(3);
    BOOST_TEST((weak->state.endpointsCurrentAt() == current));
}

BOOST_AUTO_TEST_SUITE_END()
