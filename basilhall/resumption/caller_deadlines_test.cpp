#include "basilhall/resumption/caller_deadlines.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::resumption;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(resumption_caller_deadlines)

BOOST_AUTO_TEST_CASE(streamMayBeAsOldAsTheLongestDeadlineOfItsRoute)
{
    CallerDeadlines deadlines;
    deadlines.onFirstAttempt("r", 2s);
    deadlines.onFirstAttempt("r", 6s);
    deadlines.onFirstAttempt("r", 3s);
    deadlines.onFirstAttempt("other", 9s);
    BOOST_TEST((deadlines.maxStreamAge("r", 1s, 500ms) == Duration(6s)));
    BOOST_TEST((deadlines.maxStreamAge("r", 7s, 500ms) == Duration(7s)));
    BOOST_TEST((deadlines.maxStreamAge("r", 1s, 8s) == Duration(8s)));
}

BOOST_AUTO_TEST_CASE(streamMayBeOldIfNoDeadlineIsKnown)
{
    CallerDeadlines deadlines;
    BOOST_TEST((deadlines.maxStreamAge("r", 1s, 500ms) == CallerDeadlines::kMaxAge));
    deadlines.onFirstAttempt("r", 2s);
    BOOST_TEST((deadlines.maxStreamAge("r", 1s, std::nullopt) == CallerDeadlines::kMaxAge));
    BOOST_TEST((deadlines.maxStreamAge("r", 1min, std::nullopt) == Duration(1min)));
    deadlines.onFirstAttempt("r", std::nullopt);
    BOOST_TEST((deadlines.maxStreamAge("r", 1s, 500ms) == CallerDeadlines::kMaxAge));
}

// One caller must not keep all others from going on for days.
BOOST_AUTO_TEST_CASE(longDeadlinesAreCut)
{
    CallerDeadlines deadlines;
    deadlines.onFirstAttempt("r", 100h);
    BOOST_TEST((deadlines.maxStreamAge("r", 1s, 100h) == CallerDeadlines::kMaxAge));
}

BOOST_AUTO_TEST_SUITE_END()
