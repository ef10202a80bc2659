#include "basilhall/agent/session_table.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::agent;
using namespace std::chrono_literals;

namespace
{

const ProgramId kProgram("p");
const Instant kStart{1h};

bool isDue(const SessionTable &table, Instant now, bool isLive = false)
{
    return !table.due(now, [isLive](const ProgramId &) { return isLive; }).empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent_sessions)

BOOST_AUTO_TEST_CASE(releasedProgramIsFreedOnceItsCallHasEnded)
{
    SessionTable table;
    table.touch(kProgram, 1, 3, kStart);
    BOOST_TEST(!isDue(table, kStart));
    table.release(kProgram, 3, kStart);
    BOOST_TEST(!isDue(table, kStart, true));
    BOOST_TEST(isDue(table, kStart));
    table.freed(kProgram, kStart);
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(programUsedWhileBeingFreedIsKept)
{
    SessionTable table;
    table.touch(kProgram, 1, 3, kStart);
    table.release(kProgram, 3, kStart);
    table.touch(kProgram, 1, 3, kStart + 2s);
    table.freed(kProgram, kStart + 1s);
    BOOST_TEST(table.size() == 1U);
}

BOOST_AUTO_TEST_CASE(idleProgramOrProgramOfSupersededOwnerIsFreed)
{
    SessionTable table;
    table.touch(kProgram, 1, 3, kStart);
    table.observeEpoch(1, 4, kStart + 10s);
    BOOST_TEST(!isDue(table, kStart + 10s + kSupersededLimit - 1s));
    BOOST_TEST(isDue(table, kStart + 10s + kSupersededLimit));
    table.touch(kProgram, 1, 4, kStart + 70s);
    BOOST_TEST(!isDue(table, kStart + 71s + kSupersededLimit));
    BOOST_TEST(isDue(table, kStart + 70s + kSessionIdleLimit));
}

BOOST_AUTO_TEST_CASE(leastRecentlyUsedProgramsAreFreedAboveTheLimit)
{
    SessionTable table;
    for (std::size_t i = 0; i < kMaxSessions + 2; ++i) {
        table.touch(ProgramId(std::to_string(i)), 1, 1, kStart + std::chrono::milliseconds(i));
        table.setTokens(ProgramId(std::to_string(i)), 10, kStart);
    }
    const auto due = table.due(kStart + 10s, [](const ProgramId &) { return false; });
    BOOST_TEST_REQUIRE(due.size() == 2U);
    BOOST_TEST(due[0].program == ProgramId("0"));
    BOOST_TEST(table.newest(1).at(0).program == ProgramId(std::to_string(kMaxSessions + 1)));
}

BOOST_AUTO_TEST_SUITE_END()
