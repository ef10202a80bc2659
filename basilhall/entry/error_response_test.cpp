#include "basilhall/entry/error_response.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(error_response)

BOOST_AUTO_TEST_CASE(retryAfterIsRoundedUpToWholeSeconds)
{
    const Error error = Error(ErrorKind::RateLimited, "slow down").withRetryAfter(1200ms);
    const http::Response response = entry::errorResponse(error);
    BOOST_TEST(response.status == 429);
    BOOST_TEST(http::findHeader(response.headers, "retry-after").value() == "2");
    BOOST_TEST(response.body.find("\"retry_after_ms\":1200") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(notRunIsTrueOrAbsent)
{
    const Error error(ErrorKind::Unavailable, "no endpoint");
    BOOST_TEST(entry::errorDocument(error).find("not_run") == std::string::npos);
    BOOST_TEST(entry::errorDocument(error.withNotRun()).find("\"not_run\":true")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(retryAfterHeaderIsPresentForExactlyTheRetryableKinds)
{
    for (const ErrorTraits &traits : errorTable()) {
        const http::Response response = entry::errorResponse(Error(traits.kind, "x"));
        BOOST_TEST(http::findHeader(response.headers, "Retry-After").has_value()
                       == traits.retryAfter,
                   traits.name);
    }
}

BOOST_AUTO_TEST_SUITE_END()
