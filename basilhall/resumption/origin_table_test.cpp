#include "basilhall/resumption/origin_table.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::resumption;

namespace
{

StreamOrigin origin(const std::string &attempt, const std::string &version = "v1",
                    WallMillis keptUntil = 1000)
{
    return {CallId(attempt), TeamName("bakers"), "engines", version, EndpointName("e"), 1, 2,
            keptUntil};
}

} // namespace

BOOST_AUTO_TEST_SUITE(resumption_origin_table)

BOOST_AUTO_TEST_CASE(streamIsKnownUntilItsEnd)
{
    OriginTable table;
    BOOST_TEST(table.find(CallId("a")) == nullptr);
    table.add(origin("a"));
    table.expire(1000);
    BOOST_TEST_REQUIRE(table.find(CallId("a")) != nullptr);
    BOOST_TEST(table.find(CallId("a"))->version == "v1");
    table.expire(1001);
    BOOST_TEST(table.find(CallId("a")) == nullptr);
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(continuedStreamIsKeptLonger)
{
    OriginTable table;
    table.add(origin("a", "v1", 1000));
    table.add(origin("a", "v1", 3000));
    table.add(origin("a", "v1", 2000));
    table.expire(2500);
    BOOST_TEST(table.find(CallId("a")) != nullptr);
    table.expire(3001);
    BOOST_TEST(table.find(CallId("a")) == nullptr);
}

BOOST_AUTO_TEST_CASE(contradictingStatementsLeaveTheOriginUnknown)
{
    OriginTable table;
    table.add(origin("a", "v1"));
    table.add(origin("a", "v2"));
    BOOST_TEST(table.find(CallId("a")) == nullptr);
    table.add(origin("a", "v1"));
    BOOST_TEST(table.find(CallId("a")) == nullptr);
}

BOOST_AUTO_TEST_CASE(memoryIsBounded)
{
    OriginTable table;
    for (std::size_t i = 0; i <= OriginTable::kMaxStreams; ++i) {
        table.add(origin(std::to_string(i), "v1", static_cast<WallMillis>(1000 + i)));
    }
    BOOST_TEST(table.size() == OriginTable::kMaxStreams);
    BOOST_TEST(table.find(CallId("0")) == nullptr);
    BOOST_TEST(table.find(CallId(std::to_string(OriginTable::kMaxStreams))) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
