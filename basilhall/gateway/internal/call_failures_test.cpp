#include "basilhall/gateway/internal/call_failures.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace std::chrono_literals;

namespace
{

const Instant kStart{};

} // namespace

BOOST_AUTO_TEST_SUITE(call_failures)

// A gateway that retries late must not take the pause for a part of the outage.
BOOST_AUTO_TEST_CASE(lastFailureStaysWhileNoCallIsMade)
{
    CallFailures failures;
    BOOST_TEST(!failures.last().has_value());
    failures.onFailed(kStart);
    failures.onFailed(kStart + 2s);
    BOOST_TEST((failures.failingFor(kStart + 5s) == 5s));
    BOOST_TEST((failures.last() == kStart + 2s));
    failures.onSucceeded();
    BOOST_TEST(!failures.last().has_value());
    BOOST_TEST((failures.failingFor(kStart + 6s) == Duration::zero()));
    failures.onFailed(kStart + 7s);
    BOOST_TEST((failures.failingFor(kStart + 8s) == 1s));
}

BOOST_AUTO_TEST_SUITE_END()
