#include "basilhall/fleet/policy.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::fleet;

namespace
{

Route route(const std::string &name, const std::string &prefix)
{
    Route result;
    result.name = name;
    result.host = "h.example";
    result.pathPrefix = prefix;
    result.services = {{"engines", 1}};
    return result;
}

const PolicyContent kContent{{route("short", "/a/"), route("long", "/a/b/")},
                             {Service{"engines", 10, std::nullopt}},
                             {Team{TeamName("bakers"), {"k1", "k2"}, std::nullopt, std::nullopt}},
                             {}};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_policy)

BOOST_AUTO_TEST_CASE(findRouteReturnsTheLongestPrefixOfTheHost)
{
    const Policy policy(1, kContent);
    BOOST_TEST(policy.findRoute("h.example", "/a/b/c")->name == "long");
    BOOST_TEST(policy.findRoute("h.example", "/a/c")->name == "short");
    BOOST_TEST(!policy.findRoute("h.example", "/b"));
    BOOST_TEST(!policy.findRoute("other.example", "/a/b/c"));
}

BOOST_AUTO_TEST_CASE(findsTeamsByKeyAndServicesByName)
{
    const Policy policy(1, kContent);
    BOOST_TEST(policy.findTeam(std::string("k2"))->name == TeamName("bakers"));
    BOOST_TEST(!policy.findTeam(std::string("k3")));
    BOOST_TEST(policy.findService("engines")->connectionLimit == 10U);
    BOOST_TEST(!policy.findService("other"));
}

BOOST_AUTO_TEST_SUITE_END()
