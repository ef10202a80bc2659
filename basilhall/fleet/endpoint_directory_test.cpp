#include "basilhall/fleet/endpoint_directory.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::fleet;
using namespace std::chrono_literals;

namespace
{

const Instant kStart{};

Endpoint endpoint(const std::string &name)
{
    Endpoint result;
    result.name = EndpointName(name);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_directory)

BOOST_AUTO_TEST_CASE(lapsedRegistrationsStayUntilTheGracePeriodEnds)
{
    EndpointDirectory directory(2s);
    directory.replaceAll({endpoint("a"), endpoint("b"), endpoint("c")}, false, kStart);
    directory.replaceAll({endpoint("a")}, true, kStart + 10s);
    BOOST_TEST(directory.endpoints().size() == 3U);
    directory.set(endpoint("b"));
    BOOST_TEST(directory.expire(kStart + 11s).empty());
    const auto dropped = directory.expire(kStart + 12s);
    BOOST_TEST_REQUIRE(dropped.size() == 1U);
    BOOST_TEST(dropped.front() == EndpointName("c"));
    BOOST_TEST(directory.find(EndpointName("b")));
    BOOST_TEST(!directory.find(EndpointName("c")));
}

// A peer passes on lists several times a second while its own grace period lasts. Each list used to
// begin the period again, and leaving endpoints got requests 3.2 s after they had been removed
// (khamir-serve-grown trouble-1).
BOOST_AUTO_TEST_CASE(listsDuringTheGracePeriodDoNotExtendIt)
{
    EndpointDirectory directory(2s);
    directory.replaceAll({endpoint("a"), endpoint("b")}, false, kStart);
    directory.extendGracePeriod(kStart + 1s);
    directory.replaceAll({endpoint("a")}, false, kStart + 500ms);
    directory.replaceAll({endpoint("a")}, false, kStart + 900ms);
    BOOST_TEST(directory.find(EndpointName("b")) != nullptr);
    BOOST_TEST(directory.expire(kStart + 1s).size() == 1U);
    BOOST_TEST(directory.find(EndpointName("b")) == nullptr);
}

// Guards against an empty directory while the store refuses writes: registrations lapse because
// they cannot be renewed, the watch still reports their removal, and no endpoint was known for
// seconds (khamir inc-03f1).
BOOST_AUTO_TEST_CASE(removalsDuringAStoreOutageTakeEffectAfterTheGracePeriod)
{
    EndpointDirectory directory(2s);
    directory.replaceAll({endpoint("a"), endpoint("b")}, false, kStart);
    directory.noteOutage(kStart + 1s);
    directory.remove(EndpointName("a"), kStart + 2s);
    directory.remove(EndpointName("b"), kStart + 2s);
    directory.noteOutage(kStart + 4s);
    BOOST_TEST(directory.expire(kStart + 5s).empty());
    BOOST_TEST(directory.find(EndpointName("a")));
    directory.set(endpoint("a"));
    BOOST_TEST(directory.expire(kStart + 6s).size() == 1U);
    BOOST_TEST(directory.find(EndpointName("a")));
    BOOST_TEST(!directory.find(EndpointName("b")));
}

BOOST_AUTO_TEST_CASE(removalTakesEffectAtOnceWithoutAnOutage)
{
    EndpointDirectory directory(2s);
    directory.replaceAll({endpoint("a"), endpoint("b")}, false, kStart);
    directory.remove(EndpointName("a"), kStart);
    BOOST_TEST(!directory.find(EndpointName("a")));
    directory.replaceAll({}, false, kStart + 1s);
    BOOST_TEST(directory.endpoints().empty());
}

BOOST_AUTO_TEST_SUITE_END()
