#include "basilhall/fleet/version_history.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::fleet;
using namespace std::chrono_literals;

namespace
{

Endpoint endpoint(const std::string &name, const std::string &version)
{
    Endpoint made;
    made.name = EndpointName(name);
    made.service = "engines";
    made.version = version;
    return made;
}

std::unordered_map<EndpointName, Endpoint> registered(const std::vector<Endpoint> &endpoints)
{
    std::unordered_map<EndpointName, Endpoint> made;
    for (const Endpoint &added : endpoints) {
        made.emplace(added.name, added);
    }
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_version_history)

BOOST_AUTO_TEST_CASE(versionIsTheOnlyOneOnceTheHistoryIsLongEnough)
{
    const Instant start{};
    const auto now = registered({endpoint("a", "v1"), endpoint("b", "v1")});
    VersionHistory history;
    BOOST_TEST(!history.onlyVersion("engines", now, start).has_value());
    history.begin(start + 1s);
    history.begin(start + 9s);
    BOOST_TEST(!history.onlyVersion("engines", now, start).has_value());
    BOOST_TEST(history.onlyVersion("engines", now, start + 1s).value_or("") == "v1");
    BOOST_TEST(!history.onlyVersion("tools", now, start + 1s).has_value());
}

BOOST_AUTO_TEST_CASE(secondVersionCountsWhileItIsRegisteredAndForAWhileAfter)
{
    const Instant start{};
    VersionHistory history;
    history.begin(start);
    const auto two = registered({endpoint("a", "v1"), endpoint("b", "v2")});
    BOOST_TEST(!history.onlyVersion("engines", two, start).has_value());
    history.onReplaced(endpoint("b", "v2"), start + 5s);
    const auto one = registered({endpoint("a", "v1")});
    BOOST_TEST(!history.onlyVersion("engines", one, start + 5s).has_value());
    BOOST_TEST(history.onlyVersion("engines", one, start + 6s).value_or("") == "v1");
}

BOOST_AUTO_TEST_SUITE_END()
