#include "basilhall/manifest/parser.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::manifest;
using namespace std::chrono_literals;

namespace
{

const std::string kDigestA(64, 'a');
const std::string kDigestB(64, 'b');

std::string wholeManifest()
{
    return R"(
shard_count = 24

[teams.haulers]
weight = 3
requests_per_second = 50
burst = 100
program_budget_tokens = 200000
key_digests = [")"
        + kDigestA + R"("]
priority = "urgent"
routes = ["dispatch"]
models = ["feed-minds"]

[models.feed-minds]
max_context_tokens = 32000
max_completion_tokens = 2000

[routes.dispatch]
idempotent = false
accepts_idempotency_keys = true
timeout = "5 s"

[endpoints.engine-1]
kind = "engine"
host = "h1"
failure_domain = "warri"
agent = "127.0.0.1:7001"
address = "127.0.0.1:8001"
serves = ["feed-minds"]
capacity = 16

[endpoints.desk-1]
kind = "service"
host = "h2"
failure_domain = "yenagoa"
agent = "127.0.0.1:7002"
address = "127.0.0.1:8002"
serves = ["dispatch"]
capacity = 4
honours_fencing = true
)";
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t place = text.find(from);
    BOOST_REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

// Returns the faults of the whole manifest with `from` replaced by `to`.
config::Faults faultsAfter(const std::string &from, const std::string &to)
{
    return parse("m.toml", replaced(wholeManifest(), from, to)).faults;
}

bool hasFault(const config::Faults &faults, const std::string &field, const std::string &message)
{
    return std::any_of(faults.begin(), faults.end(), [&](const config::Fault &fault) {
        return fault.field == field && fault.message.find(message) != std::string::npos
            && fault.line != 0;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(manifest_parser)

BOOST_AUTO_TEST_CASE(wholeManifestIsRead)
{
    const ParsedContent parsed = parse("m.toml", wholeManifest());
    for (const config::Fault &fault : parsed.faults) {
        BOOST_ERROR(toString(fault));
    }
    BOOST_REQUIRE(parsed.content.has_value());
    const Content &content = *parsed.content;
    BOOST_TEST(content.shardCount == 24U);
    const Team &team = content.teams.at(TeamName("haulers"));
    BOOST_TEST(team.weight == 3U);
    BOOST_TEST(team.requestsPerSecond == 50.0);
    BOOST_TEST((team.priority == Priority::Urgent));
    BOOST_TEST((content.routes.at("dispatch").timeout == 5s));
    const Endpoint &desk = content.endpoints.at(EndpointName("desk-1"));
    BOOST_TEST((desk.kind == EndpointKind::Service));
    BOOST_TEST(desk.agent.port == 7002);
    BOOST_TEST(desk.honoursFencing);
    BOOST_TEST(!desk.leaving);
}

BOOST_AUTO_TEST_CASE(everyFaultIsReported)
{
    std::string text = replaced(wholeManifest(), "burst = 100", "burst = 0");
    text = replaced(text, "requests_per_second = 50", "requests_per_second = 0");
    text = replaced(text, "capacity = 16", "capacity = \"many\"\ncolour = 1");
    const config::Faults faults = parse("m.toml", text).faults;
    BOOST_TEST(faults.size() == 4U);
    BOOST_TEST(hasFault(faults, "teams.haulers.burst", "must be from 1"));
    BOOST_TEST(hasFault(faults, "teams.haulers.requests_per_second", "must be from 0.001"));
    BOOST_TEST(hasFault(faults, "endpoints.engine-1.capacity", "must be an integer"));
    BOOST_TEST(hasFault(faults, "endpoints.engine-1.colour", "is not a known key"));
    BOOST_TEST(std::is_sorted(faults.begin(), faults.end()));
}

BOOST_AUTO_TEST_CASE(referencesAreChecked)
{
    BOOST_TEST(hasFault(faultsAfter("serves = [\"feed-minds\"]", "serves = [\"x\"]"),
                        "endpoints.engine-1.serves", "model \"x\" does not exist"));
    BOOST_TEST(hasFault(faultsAfter("serves = [\"dispatch\"]", "serves = [\"feed-minds\"]"),
                        "endpoints.desk-1.serves", "route \"feed-minds\" does not exist"));
    BOOST_TEST(hasFault(faultsAfter("routes = [\"dispatch\"]", "routes = [\"y\"]"),
                        "teams.haulers.routes", "route \"y\" does not exist"));
    BOOST_TEST(hasFault(faultsAfter("models = [\"feed-minds\"]", "models = [\"z\"]"),
                        "teams.haulers.models", "model \"z\" does not exist"));
    BOOST_TEST(hasFault(faultsAfter("127.0.0.1:7002", "127.0.0.1:7001"), "endpoints.engine-1.agent",
                        "is used by endpoint \"desk-1\" already"));
}

BOOST_AUTO_TEST_CASE(duplicateKeyDigestIsReportedWithoutFullDigest)
{
    const std::string second = "\n[teams.other]\nrequests_per_second = 1\nburst = 1\n"
                               "program_budget_tokens = 5\nkey_digests = [\""
        + kDigestB + "\", \"" + kDigestA + "\"]\n";
    const config::Faults faults = parse("m.toml", wholeManifest() + second).faults;
    BOOST_REQUIRE(faults.size() == 1U);
    BOOST_TEST(hasFault(faults, "teams.other.key_digests", "belongs to team \"haulers\""));
    BOOST_TEST(faults[0].message.find(kDigestA) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(plainKeyInPlaceOfADigestIsRefused)
{
    const config::Faults faults = faultsAfter(kDigestA, "sk-plain-key");
    BOOST_REQUIRE(faults.size() == 1U);
    BOOST_TEST(faults[0].message.find("sk-plain-key") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(missingKeysAndInvalidValuesAreFaults)
{
    BOOST_TEST(hasFault(faultsAfter("burst = 100", ""), "teams.haulers.burst", "is missing"));
    BOOST_TEST(hasFault(faultsAfter("timeout = \"5 s\"", "timeout = 5"), "routes.dispatch.timeout",
                        "must be a string"));
    BOOST_TEST(hasFault(faultsAfter("timeout = \"5 s\"", "timeout = \"5\""),
                        "routes.dispatch.timeout", "with a unit"));
    BOOST_TEST(hasFault(faultsAfter("shard_count = 24", ""), "shard_count", "is missing"));
    BOOST_TEST(
        hasFault(faultsAfter("max_completion_tokens = 2000", "max_completion_tokens = 64000"),
                 "models.feed-minds.max_completion_tokens", "must not exceed"));
    BOOST_TEST(hasFault(faultsAfter("kind = \"engine\"", "kind = \"oven\""),
                        "endpoints.engine-1.kind", "must be \"engine\" or \"service\""));
}

BOOST_AUTO_TEST_CASE(invalidNamesAreFaults)
{
    BOOST_TEST(hasFault(faultsAfter("[teams.haulers]", "[teams.\"a b\"]"), "teams.a b",
                        "name \"a b\" is not valid"));
    const std::string clash = "\n[routes.feed-minds]\n";
    BOOST_TEST(hasFault(parse("m.toml", wholeManifest() + clash).faults, "routes.feed-minds",
                        "has the name of a model"));
}

BOOST_AUTO_TEST_CASE(truncatedTextIsReportedWithoutCrash)
{
    const std::string whole = wholeManifest();
    for (std::size_t length = 0; length < whole.size(); length += 7) {
        const ParsedContent parsed = parse("m.toml", whole.substr(0, length));
        BOOST_TEST(parsed.content.has_value() == parsed.faults.empty());
    }
}

BOOST_AUTO_TEST_CASE(shardCountMayNotChange)
{
    Content inForce;
    inForce.shardCount = 24;
    Content next = inForce;
    BOOST_TEST(checkChange("m.toml", inForce, next).empty());
    next.shardCount = 48;
    const config::Faults faults = checkChange("m.toml", inForce, next);
    BOOST_REQUIRE(faults.size() == 1U);
    BOOST_TEST(toString(faults[0])
               == "m.toml: shard_count: must stay 24, the count in force, not 48");
}

BOOST_AUTO_TEST_SUITE_END()
