#include "basilhall/fleet/leaving_endpoints.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::fleet;
using namespace std::chrono_literals;

namespace
{

const Instant kStart{};
const EndpointName kName("a");

Endpoint startedAt(WallMillis start)
{
    Endpoint endpoint;
    endpoint.name = kName;
    endpoint.startedAt = start;
    return endpoint;
}

} // namespace

BOOST_AUTO_TEST_SUITE(leaving_endpoints)

BOOST_AUTO_TEST_CASE(announcementHoldsUntilALaterStart)
{
    LeavingEndpoints leaving;
    BOOST_TEST(!leaving.contains(startedAt(5)));
    BOOST_TEST(leaving.add(kName, 5, kStart));
    BOOST_TEST(!leaving.add(kName, 5, kStart));
    BOOST_TEST(leaving.contains(startedAt(5)));
    BOOST_TEST(leaving.contains(startedAt(4)));
    BOOST_TEST(!leaving.contains(startedAt(6)));
    Endpoint other = startedAt(5);
    other.name = EndpointName("b");
    BOOST_TEST(!leaving.contains(other));
}

BOOST_AUTO_TEST_CASE(lateAnswerOfAnEarlierProcessDoesNotEndAnAnnouncement)
{
    LeavingEndpoints leaving;
    BOOST_TEST(leaving.add(kName, 5, kStart));
    BOOST_TEST(leaving.add(kName, 7, kStart));
    BOOST_TEST(!leaving.add(kName, 5, kStart));
    BOOST_TEST(leaving.contains(startedAt(7)));
    BOOST_TEST(!leaving.contains(startedAt(8)));
}

BOOST_AUTO_TEST_CASE(unknownStartCountsAsTheLeavingProcess)
{
    LeavingEndpoints leaving;
    BOOST_TEST(leaving.add(kName, 5, kStart));
    BOOST_TEST(leaving.contains(startedAt(0)));
    BOOST_TEST(!leaving.contains(startedAt(6)));
    // The process of unknown start may be a later one than that of start 5.
    (void)leaving.add(kName, 0, kStart);
    BOOST_TEST(leaving.contains(startedAt(6)));
    BOOST_TEST(!leaving.add(kName, 7, kStart));
    BOOST_TEST(leaving.contains(startedAt(8)));
    BOOST_TEST(leaving.contains(startedAt(0)));
}

BOOST_AUTO_TEST_CASE(announcementIsDroppedAfterTheRetentionWithoutARegistration)
{
    LeavingEndpoints leaving;
    BOOST_TEST(leaving.add(kName, 5, kStart));
    const std::unordered_map<EndpointName, Endpoint> registered{{kName, startedAt(5)}};
    const Instant removedAt = kStart + 3 * LeavingEndpoints::kRetention;
    leaving.expire(registered, removedAt);
    leaving.expire({}, removedAt + LeavingEndpoints::kRetention - 1ms);
    BOOST_TEST(leaving.contains(startedAt(5)));
    leaving.expire({}, removedAt + LeavingEndpoints::kRetention);
    BOOST_TEST(leaving.size() == 0U);
    BOOST_TEST(!leaving.contains(startedAt(5)));
}

BOOST_AUTO_TEST_SUITE_END()
