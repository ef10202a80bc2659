#include "basilhall/resumption/output_table.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::resumption;

namespace
{

const CallId kStream("s");

StreamOutput part(const std::string &attempt, std::uint64_t continuation,
                  std::vector<SaidEvent> events)
{
    return {kStream, TeamName("bakers"), continuation, 10, CallId(attempt), std::move(events), 100};
}

struct Fixture {
    std::string said() const
    {
        const StreamOutput *output = table.find(kStream);
        return output == nullptr ? "(unknown)" : textOf(output->events);
    }
    OutputTable table;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(output_table, Fixture)

BOOST_AUTO_TEST_CASE(partsOfAnAttemptAreJoined)
{
    BOOST_TEST((table.add(part("s", 0, {{1, "a"}, {2, "b"}}), 0) == OutputVerdict::Accepted));
    BOOST_TEST((table.add(part("s", 0, {{3, "c"}}), 2) == OutputVerdict::Accepted));
    BOOST_TEST(said() == "abc");
    // Sent again after a lost reply.
    BOOST_TEST((table.add(part("s", 0, {{3, "c"}, {4, "d"}}), 2) == OutputVerdict::Accepted));
    BOOST_TEST(said() == "abcd");
    BOOST_TEST(textOf(table.find(kStream)->eventsUpTo(2)) == "ab");
    BOOST_TEST((table.find(kStream)->reaches(4) && !table.find(kStream)->reaches(5)));
}

BOOST_AUTO_TEST_CASE(partAfterMissingEventsIsNotAdded)
{
    BOOST_TEST((table.add(part("s", 0, {{3, "c"}}), 2) == OutputVerdict::Gap));
    BOOST_TEST(said() == "(unknown)");
    BOOST_TEST((table.add(part("s", 0, {{1, "a"}}), 0) == OutputVerdict::Accepted));
    BOOST_TEST((table.add(part("s", 0, {{3, "c"}}), 2) == OutputVerdict::Gap));
    BOOST_TEST(said() == "a");
}

// A gateway that was frozen goes on with a stream that its caller has taken up elsewhere.
BOOST_AUTO_TEST_CASE(laterAttemptReplacesAnEarlierOne)
{
    BOOST_TEST((table.add(part("s", 0, {{1, "a"}, {2, "old"}}), 0) == OutputVerdict::Accepted));
    BOOST_TEST((table.add(part("t", 1, {{2, "b"}}), 1) == OutputVerdict::Gap));
    BOOST_TEST((table.add(part("t", 1, {{1, "a"}, {2, "b"}}), 0) == OutputVerdict::Accepted));
    BOOST_TEST((table.add(part("s", 0, {{3, "old"}}), 2) == OutputVerdict::Superseded));
    BOOST_TEST((table.add(part("s", 0, {{1, "a"}}), 0) == OutputVerdict::Superseded));
    BOOST_TEST(said() == "ab");
}

BOOST_AUTO_TEST_CASE(streamsAreForgottenOnceTheyCannotBeContinued)
{
    BOOST_TEST((table.add(part("s", 0, {{1, "a"}}), 0) == OutputVerdict::Accepted));
    table.expire(100);
    BOOST_TEST(table.size() == 1U);
    table.expire(101);
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(table.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    for (int i = 0; i < 100; ++i) {
        StreamOutput large = part("s", 0, {{1, std::string(100'000, 'x')}});
        large.stream = CallId(std::to_string(i));
        large.keptUntil = 100 + i;
        BOOST_TEST((table.add(large, 0) == OutputVerdict::Accepted));
    }
    BOOST_TEST(table.bytes() <= OutputTable::kMaxBytes);
    BOOST_TEST((table.find(CallId("0")) == nullptr));
    BOOST_TEST((table.find(CallId("99")) != nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
