#include "basilhall/placement/named_limits.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::placement;
using namespace std::chrono_literals;

namespace
{

const Instant kStart{};
const EndpointName kName("a");

fleet::Endpoint startedAt(WallMillis start)
{
    fleet::Endpoint endpoint;
    endpoint.name = kName;
    endpoint.startedAt = start;
    return endpoint;
}

} // namespace

BOOST_AUTO_TEST_SUITE(named_limits)

BOOST_AUTO_TEST_CASE(limitAppliesFromTheAnswerThatStatesItUntilOneThatStatesNone)
{
    NamedLimits limits;
    BOOST_TEST(!limits.add(kName, {5, std::nullopt, kStart}));
    BOOST_TEST(!limits.find(startedAt(5)).has_value());
    BOOST_TEST(limits.add(kName, {5, 2.5, kStart + 1s}));
    BOOST_TEST(!limits.add(kName, {5, 2.5, kStart + 2s}));
    BOOST_TEST(limits.find(startedAt(5)).value_or(0) == 2.5);
    BOOST_TEST(limits.add(kName, {5, 3.5, kStart + 3s}));
    BOOST_TEST(limits.find(startedAt(5)).value_or(0) == 3.5);
    BOOST_TEST(limits.add(kName, {5, std::nullopt, kStart + 4s}));
    BOOST_TEST(!limits.find(startedAt(5)).has_value());
}

BOOST_AUTO_TEST_CASE(lateNewsDoesNotReplaceANewerAnswer)
{
    NamedLimits limits;
    BOOST_TEST(limits.add(kName, {5, 2.5, kStart + 1s}));
    BOOST_TEST(limits.add(kName, {5, std::nullopt, kStart + 4s}));
    BOOST_TEST(!limits.add(kName, {5, 2.5, kStart + 3s}));
    BOOST_TEST(!limits.find(startedAt(5)).has_value());
}

BOOST_AUTO_TEST_CASE(limitEndsWithTheProcessThatStatedIt)
{
    NamedLimits limits;
    BOOST_TEST(limits.add(kName, {5, 2.5, kStart + 1s}));
    BOOST_TEST(limits.find(startedAt(0)).has_value());
    BOOST_TEST(!limits.find(startedAt(6)).has_value());
    // The later process may have stated its limit before news of the earlier one arrive.
    BOOST_TEST(limits.add(kName, {6, 7.5, kStart + 2s}));
    BOOST_TEST(!limits.add(kName, {5, 2.5, kStart + 3s}));
    BOOST_TEST(limits.find(startedAt(6)).value_or(0) == 7.5);
}

BOOST_AUTO_TEST_CASE(statementIsKeptForTheRetentionWithoutARepetition)
{
    NamedLimits limits;
    BOOST_TEST(limits.add(kName, {5, 2.5, kStart}));
    limits.expire(kStart + NamedLimits::kRetention - 1ms);
    BOOST_TEST(limits.find(startedAt(5)).has_value());
    limits.expire(kStart + NamedLimits::kRetention);
    BOOST_TEST(!limits.find(startedAt(5)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
