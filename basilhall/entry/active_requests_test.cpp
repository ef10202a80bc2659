#include "basilhall/entry/active_requests.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;

namespace
{

manifest::ManifestPtr manifestWithKeys(std::uint64_t generation, std::vector<std::string> digests)
{
    manifest::Content content;
    content.shardCount = 1;
    manifest::Team team;
    team.name = TeamName("haulers");
    team.keyDigests = std::move(digests);
    content.teams.emplace(team.name, team);
    return manifest::Manifest::make(generation, std::move(content));
}

} // namespace

BOOST_AUTO_TEST_CASE(withdrawnKeyInterruptsOnlyItsRequests)
{
    const auto before = manifestWithKeys(1, {"a", "b"});
    const auto after = manifestWithKeys(2, {"b"});
    entry::ActiveRequests activeRequests;
    entry::Interrupt withdrawn;
    entry::Interrupt kept;
    const entry::ActiveRequests::Entry first(activeRequests, "a", withdrawn);
    {
        const entry::ActiveRequests::Entry second(activeRequests, "b", kept);
        activeRequests.interruptWithdrawnKeys(*before, *after);
        BOOST_TEST(activeRequests.size() == 2);
    }
    BOOST_TEST(activeRequests.size() == 1);
    BOOST_REQUIRE(withdrawn.reason().has_value());
    BOOST_TEST((withdrawn.reason()->kind() == ErrorKind::Unauthenticated));
    BOOST_TEST(!kept.reason().has_value());
}
