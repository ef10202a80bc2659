#include "basilhall/route/early_refusal.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::route;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(onlyNonUrgentNewProgramsWithALongWaitAreRefused)
{
    const EarlyRefusalSettings settings{.maxWait = 5s};
    const Choice longWait{EndpointName("e"), 0, 7.5};
    const Choice shortWait{EndpointName("e"), 0, 5};
    const std::optional<Error> refused = refuseEarly(settings, {true, false}, longWait);
    BOOST_TEST((refused->kind() == ErrorKind::Overloaded));
    BOOST_TEST(refused->notRun());
    BOOST_TEST((refused->retryAfter() == 2500ms));
    BOOST_TEST(!refuseEarly(settings, {true, false}, shortWait));
    BOOST_TEST(!refuseEarly(settings, {false, false}, longWait));
    BOOST_TEST(!refuseEarly(settings, {true, true}, longWait));
    BOOST_TEST(!refuseEarly({.maxWait = 0s}, {true, false}, longWait));
}
