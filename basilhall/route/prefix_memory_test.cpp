#include "basilhall/route/prefix_memory.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::route;

BOOST_AUTO_TEST_SUITE(prefix_memory)

BOOST_AUTO_TEST_CASE(latestLocationsComeFirst)
{
    PrefixMemory memory(10);
    const ProgramId program("p");
    memory.add(program, 1, 10);
    memory.add(program, 2, 20);
    memory.add(program, 3, 30);
    memory.add(program, 2, 40);
    const auto locations = memory.locationsOf(program);
    BOOST_TEST(locations.size() == 2u);
    BOOST_TEST((locations[0] == PrefixMemory::Location{2, 40}));
    BOOST_TEST((locations[1] == PrefixMemory::Location{3, 30}));
    memory.remove(program, 2);
    BOOST_TEST(memory.locationsOf(program).size() == 1u);
}

BOOST_AUTO_TEST_CASE(leastRecentlyUsedProgramIsEvicted)
{
    PrefixMemory memory(2);
    memory.add(ProgramId("a"), 1, 1);
    memory.add(ProgramId("b"), 1, 1);
    memory.add(ProgramId("a"), 1, 2);
    memory.add(ProgramId("c"), 1, 1);
    BOOST_TEST(memory.size() == 2u);
    BOOST_TEST(memory.locationsOf(ProgramId("b")).empty());
    BOOST_TEST(!memory.locationsOf(ProgramId("a")).empty());
}

BOOST_AUTO_TEST_SUITE_END()
