#include "basilhall/resumption/continuation_policy.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::resumption;

namespace
{

Continuation named()
{
    Continuation continuation;
    continuation.isNamed = true;
    continuation.team = TeamName("bakers");
    continuation.services = {"engines", "new-engines"};
    continuation.service = "new-engines";
    continuation.origin =
        StreamOrigin{CallId("a"), TeamName("bakers"), "engines", "v1", EndpointName("e"), 1, 2, 3};
    return continuation;
}

void checkRefused(const Continuation &continuation)
{
    const auto version = versionFor(continuation);
    BOOST_TEST_REQUIRE(!version.has_value());
    BOOST_TEST((version.error().kind() == ErrorKind::Unavailable));
    BOOST_TEST(version.error().notRun());
    BOOST_TEST(version.error().retryAfter().has_value());
}

} // namespace

BOOST_AUTO_TEST_SUITE(resumption_continuation_policy)

BOOST_AUTO_TEST_CASE(namedStreamGoesOnAtTheServiceAndVersionThatBeganIt)
{
    const auto version = versionFor(named());
    BOOST_TEST_REQUIRE(version.has_value());
    BOOST_TEST((version.value() == StreamVersion{"engines", "v1"}));
}

BOOST_AUTO_TEST_CASE(unknownStreamIsRefusedWhateverVersionsServe)
{
    Continuation continuation = named();
    continuation.origin.reset();
    continuation.onlyVersion = "v1";
    checkRefused(continuation);
}

BOOST_AUTO_TEST_CASE(streamOfAnotherTeamIsRefused)
{
    Continuation continuation = named();
    continuation.team = TeamName("haulers");
    checkRefused(continuation);
}

BOOST_AUTO_TEST_CASE(streamOfAServiceThatTheRouteHasLeftIsRefused)
{
    Continuation continuation = named();
    continuation.services = {"new-engines"};
    checkRefused(continuation);
}

BOOST_AUTO_TEST_CASE(callerThatNamesNoAttemptNeedsASingleVersion)
{
    Continuation continuation = named();
    continuation.isNamed = false;
    continuation.origin.reset();
    checkRefused(continuation);
    continuation.onlyVersion = "v2";
    const auto version = versionFor(continuation);
    BOOST_TEST_REQUIRE(version.has_value());
    BOOST_TEST((version.value() == StreamVersion{"new-engines", "v2"}));
}

BOOST_AUTO_TEST_SUITE_END()
