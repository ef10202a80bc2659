#include "basilhall/gateway/refusal.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(gateway_refusal)

BOOST_AUTO_TEST_CASE(statusesThatPromiseNotRunRequireAnErrorThatStatesIt)
{
    for (const ErrorTraits &traits : errorTable()) {
        const Error mayHaveRun(traits.kind, "x");
        const int status = refusalStatus(mayHaveRun);
        BOOST_TEST_CONTEXT(traits.name)
        {
            BOOST_TEST((status != 503 && status != 429 && status != 408 && status != 421));
        }
    }
    BOOST_TEST(refusalStatus(Error(ErrorKind::DeadlineExceeded, "x").withNotRun()) == 503);
    BOOST_TEST(refusalStatus(Error(ErrorKind::DeadlineExceeded, "x")) == 504);
    BOOST_TEST(refusalStatus(Error(ErrorKind::ConnectionLost, "x").withNotRun()) == 503);
    BOOST_TEST(refusalStatus(Error(ErrorKind::BudgetExceeded, "x").withNotRun()) == 402);
    BOOST_TEST(refusalStatus(Error(ErrorKind::RateLimited, "x").withNotRun()) == 429);
}

BOOST_AUTO_TEST_CASE(retryAfterIsSentOnlyIfTheRequestHasNotRun)
{
    const Error error = Error(ErrorKind::Overloaded, "x").withNotRun().withRetryAfter(250ms);
    const http::Response response = refusal(error);
    BOOST_TEST(http::findHeader(response.headers, "Retry-After").value_or("") == "0.250");
    const http::Response other = refusal(Error(ErrorKind::ConnectionLost, "x").withRetryAfter(1s));
    BOOST_TEST(!http::findHeader(other.headers, "Retry-After"));
}

BOOST_AUTO_TEST_SUITE_END()
