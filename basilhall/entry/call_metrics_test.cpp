#include "basilhall/entry/call_metrics.h"

#include "basilhall/metrics/registry.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::entry;
using namespace std::chrono_literals;

namespace
{

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_metrics)

BOOST_AUTO_TEST_CASE(callsAreCountedByOutcome)
{
    metrics::Registry registry;
    CallMetrics metrics(registry);
    const Instant begin(1s);
    wire::CallReply chunk;
    chunk.set_chunk("x");
    wire::CallReply finished;
    finished.mutable_finished();
    wire::CallReply failed;
    failed.mutable_error()->set_kind("overloaded");
    failed.mutable_error()->set_not_run(true);

    CallObservation streamed(metrics, wire::CALL_KIND_MODEL, begin);
    streamed.replied(chunk, begin + 250ms);
    streamed.replied(chunk, begin + 500ms);
    streamed.replied(finished, begin + 1s);
    CallObservation refused(metrics, wire::CALL_KIND_SERVICE, begin);
    refused.replied(failed, begin);
    metrics.refused(Error(ErrorKind::RateLimited, ""));

    const std::string text = registry.text();
    BOOST_TEST(contains(text, "calls_started_total{kind=\"model\"} 1\n"));
    BOOST_TEST(contains(text, "calls_started_total{kind=\"service\"} 1\n"));
    BOOST_TEST(contains(text, "calls_finished_total{outcome=\"ok\"} 1\n"));
    BOOST_TEST(contains(text, "calls_finished_total{outcome=\"overloaded\"} 1\n"));
    BOOST_TEST(contains(text, "calls_refused_total{kind=\"overloaded\"} 1\n"));
    BOOST_TEST(contains(text, "calls_refused_total{kind=\"rate_limited\"} 1\n"));
    BOOST_TEST(contains(text, "first_token_seconds_sum 0.25\n"));
    BOOST_TEST(contains(text, "call_seconds_sum{kind=\"model\"} 1\n"));
}

BOOST_AUTO_TEST_CASE(unknownErrorKindsAreCountedAsInternal)
{
    metrics::Registry registry;
    CallMetrics metrics(registry);
    wire::CallReply failed;
    failed.mutable_error()->set_kind("no_such_kind");
    CallObservation call(metrics, wire::CALL_KIND_MODEL, Instant(0s));
    call.replied(failed, Instant(0s));
    BOOST_TEST(contains(registry.text(), "{outcome=\"internal\"} 1\n"));
}

BOOST_AUTO_TEST_SUITE_END()
