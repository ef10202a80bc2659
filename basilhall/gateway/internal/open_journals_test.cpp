#include "basilhall/gateway/internal/open_journals.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace std::chrono_literals;

namespace
{

const HostName kHost("host");
const Incarnation kFirst("first");
const Incarnation kSecond("second");

} // namespace

BOOST_AUTO_TEST_SUITE(open_journals)

BOOST_AUTO_TEST_CASE(gatewayThatReturnsClosesItsJournal)
{
    OpenJournals open;
    open.add(kFirst, {kHost, 7, Instant()});
    open.add(kFirst, {kHost, 9, Instant() + 1s});
    const auto change = open.onRunning(kHost, kFirst);
    BOOST_TEST_REQUIRE(change.own.has_value());
    BOOST_TEST(change.own->lastKnown == 7U);
    BOOST_TEST(change.ended.empty());
    BOOST_TEST(open.isEmpty());
}

BOOST_AUTO_TEST_CASE(laterProcessOnTheHostClosesTheJournalOfTheEarlierOne)
{
    OpenJournals open;
    open.add(kFirst, {kHost, 7, Instant()});
    open.add(Incarnation("other"), {HostName("other"), 1, Instant()});
    const auto change = open.onRunning(kHost, kSecond);
    BOOST_TEST(!change.own);
    BOOST_TEST(change.ended.contains(kFirst));
    BOOST_TEST(open.journals().size() == 1U);
}

BOOST_AUTO_TEST_CASE(journalIsClosedAfterTenMinutes)
{
    OpenJournals open;
    open.add(kFirst, {kHost, 7, Instant()});
    open.expire(Instant() + 10min);
    BOOST_TEST(open.contains(kFirst));
    open.expire(Instant() + 10min + 1s);
    BOOST_TEST(open.isEmpty());
}

BOOST_AUTO_TEST_SUITE_END()
