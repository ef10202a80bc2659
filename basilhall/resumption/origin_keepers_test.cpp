#include "basilhall/resumption/origin_keepers.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace basilhall;
using namespace basilhall::resumption;

namespace
{

std::set<HostName> hosts(int count)
{
    std::set<HostName> made;
    for (int i = 0; i < count; ++i) {
        made.insert(HostName("host-" + std::to_string(i)));
    }
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(resumption_origin_keepers)

// Any gateway finds those that were told, whichever gateway served the stream, and after the loss
// or the arrival of one host.
BOOST_AUTO_TEST_CASE(askedHostsIncludeThoseThatWereTold)
{
    for (int i = 0; i < 500; ++i) {
        const CallId attempt("a" + std::to_string(i));
        const std::set<HostName> all = hosts(20);
        const HostName server("host-" + std::to_string(i % 20));
        std::set<HostName> others = all;
        others.erase(server);
        const auto told = originKeepers(attempt, others, kOriginCopies);
        std::set<HostName> later = all;
        if (i % 2 == 0) {
            later.erase(server);
        }
        later.insert(HostName("new-" + std::to_string(i)));
        const auto asked = originKeepers(attempt, later, kOriginsAsked);
        for (const HostName &host : told) {
            BOOST_TEST((std::find(asked.begin(), asked.end(), host) != asked.end()));
        }
    }
}

BOOST_AUTO_TEST_CASE(streamsAreSpreadOverTheHosts)
{
    std::map<HostName, int> told;
    for (int i = 0; i < 2000; ++i) {
        for (const HostName &host :
             originKeepers(CallId(std::to_string(i)), hosts(20), kOriginCopies)) {
            ++told[host];
        }
    }
    BOOST_TEST(told.size() == 20U);
    for (const auto &[host, count] : told) {
        BOOST_TEST(count > 100);
        BOOST_TEST(count < 300);
    }
}

BOOST_AUTO_TEST_CASE(fewHostsAreAllSelected)
{
    BOOST_TEST(originKeepers(CallId("a"), {}, 2).empty());
    BOOST_TEST(originKeepers(CallId("a"), hosts(1), 2).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
