#include "basilhall/gateway/internal/holder_ranking.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace basilhall;
using namespace basilhall::gateway;

namespace
{

constexpr int kDomains = 3;
constexpr int kLimits = 2;
constexpr std::size_t kMaxMembers = 12;

std::vector<Member> randomMembers(std::mt19937_64 &random)
{
    std::vector<Member> members(random() % kMaxMembers + 1);
    for (std::size_t i = 0; i < members.size(); ++i) {
        members[i].host = HostName("host-" + std::to_string(i));
        members[i].failureDomain = FailureDomain(std::string(1, char('a' + random() % kDomains)));
        members[i].processorMillis = 100 * static_cast<std::uint32_t>(random() % kLimits + 1);
    }
    return members;
}

bool isPreceded(const Member &member, const std::vector<Member> &members)
{
    return std::any_of(members.begin(), members.end(), [&member](const Member &other) {
        return other.failureDomain == member.failureDomain && other.host != member.host
            && HolderRanking::outranks(other, member);
    });
}

std::vector<const Member *> pointers(const std::vector<Member> &members)
{
    std::vector<const Member *> made;
    made.reserve(members.size());
    for (const Member &member : members) {
        made.push_back(&member);
    }
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(holder_ranking)

BOOST_AUTO_TEST_CASE(holdersAreThoseThatNoOtherMemberOfTheDomainPrecedes)
{
    std::mt19937_64 random(36);
    HolderRanking ranking;
    for (int round = 0; round < 500; ++round) {
        std::vector<Member> members = randomMembers(random);
        // The last one has left.
        const Member left = members.back();
        members.pop_back();
        ranking.setMembers(pointers(members));
        for (const Member &member : members) {
            BOOST_TEST(ranking.isHolder(member) == !isPreceded(member, members));
        }
        BOOST_TEST(ranking.isHolder(left) == !isPreceded(left, members));
    }
}

BOOST_AUTO_TEST_SUITE_END()
