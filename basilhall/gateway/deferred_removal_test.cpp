#include "basilhall/gateway/fleet_state.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace std::chrono_literals;

namespace
{

const Instant kStart{};
const EndpointName kStays("stays");
const EndpointName kLeaves("leaves");

fleet::Endpoint endpoint(const EndpointName &name)
{
    fleet::Endpoint made;
    made.name = name;
    made.service = "models";
    return made;
}

// A gateway that reaches the store, or others that do.
struct HostInTouch {
    HostInTouch() { state.replaceEndpoints({endpoint(kStays), endpoint(kLeaves)}, false, kStart); }

    // Takes the list of a host that has lost the store and keeps removed endpoints for `graceLeft`.
    void takeList(const std::vector<fleet::Endpoint> &listed, Duration graceLeft, Instant now)
    {
        state.replaceEndpoints(EndpointListing{listed, graceLeft}, now);
    }

    // True if the endpoint that leaves gets no more work from `now` on.
    bool hasDropped(Instant now)
    {
        (void)state.expireEndpoints(now);
        return !state.hasEndpoint(kLeaves);
    }

    FleetState state{Incarnation("in-touch-1"), FailureDomain("a")};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(deferred_removal, HostInTouch)

// Hosts that return to the store one after the other each state a grace period; each deferred the
// removals at all other hosts again, and requests reached endpoints that had left for seconds.
BOOST_AUTO_TEST_CASE(listsOfHostsThatLostTheStoreDoNotDeferRemovalsAtAHostInTouch)
{
    for (const Duration later : {0s, 1s, 2s, 3s}) {
        state.noteEndpointsCurrent(kStart + later);
        takeList({endpoint(kStays), endpoint(kLeaves)}, kRegistrationGrace, kStart + later);
    }
    state.noteEndpointsCurrent(kStart + 3500ms);
    takeList({endpoint(kStays)}, kRegistrationGrace - 500ms, kStart + 3500ms);
    BOOST_TEST(hasDropped(kStart + 3500ms));
}

// The same where the gateway learns of the removal from its own watch.
BOOST_AUTO_TEST_CASE(listsOfHostsThatLostTheStoreDoNotDeferRemovalsThatTheWatchReports)
{
    state.noteEndpointsCurrent(kStart);
    takeList({endpoint(kStays), endpoint(kLeaves)}, kRegistrationGrace, kStart);
    state.removeEndpoint(kLeaves, kStart + 300ms);
    BOOST_TEST(hasDropped(kStart + 300ms));
}

// After an outage for all hosts, registrations of running endpoints return. The lists of hosts that
// return later do not defer the removals again.
BOOST_AUTO_TEST_CASE(firstListAfterAnOutageForAllHostsDefersRemovalsOnce)
{
    state.noteEndpointsCurrent(kStart);
    const Instant back = kStart + 6s;
    takeList({endpoint(kStays)}, kRegistrationGrace, back);
    state.noteEndpointsCurrent(back);
    for (const Duration later : {1s, 2s}) {
        takeList({endpoint(kStays)}, kRegistrationGrace, back + later);
        BOOST_TEST(!hasDropped(back + later));
        state.noteEndpointsCurrent(back + later);
    }
    BOOST_TEST(hasDropped(back + kRegistrationGrace));
}

// The gateways that write for this one may have lost the store alone.
BOOST_AUTO_TEST_CASE(refusalsOfWritersDoNotDeferRemovalsAtAHostInTouch)
{
    state.noteEndpointsCurrent(kStart + 900ms);
    state.noteReportedOutage(kStart + 800ms, kStart + 900ms);
    state.removeEndpoint(kLeaves, kStart + 1s);
    BOOST_TEST(hasDropped(kStart + 1s));
}

BOOST_AUTO_TEST_CASE(refusalsOfWritersDeferRemovalsIfNoHostReachesTheStore)
{
    state.noteEndpointsCurrent(kStart);
    state.noteReportedOutage(kStart + 3s, kStart + 3s);
    state.removeEndpoint(kLeaves, kStart + 3s);
    BOOST_TEST(!hasDropped(kStart + 3s + kRegistrationGrace - 1ms));
    BOOST_TEST(hasDropped(kStart + 3s + kRegistrationGrace));
}

// While the calls of this host fail, it cannot tell whether a registration has lapsed.
BOOST_AUTO_TEST_CASE(outageThatThisHostSeesDefersRemovalsUntilItEnds)
{
    state.noteEndpointsCurrent(kStart + 5s);
    state.noteStoreOutage(kStart + 1s);
    state.removeEndpoint(kLeaves, kStart + 2s);
    state.noteStoreOutage(kStart + 5s);
    BOOST_TEST(!hasDropped(kStart + 5s + kRegistrationGrace - 1ms));
    BOOST_TEST(hasDropped(kStart + 5s + kRegistrationGrace));
}

BOOST_AUTO_TEST_SUITE_END()
