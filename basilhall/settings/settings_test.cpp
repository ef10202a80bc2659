#include "basilhall/settings/key_spec.h"
#include "basilhall/settings/parser.h"
#include "basilhall/settings/reference_page.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::settings;
using namespace std::chrono_literals;

namespace
{

const std::string kEntry = R"(process = "entry"
host = "h1"
failure_domain = "warri"
listen = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
operator_listen = "127.0.0.1:8082"
object_api = "127.0.0.1:6443"
)";

const std::string kAgent = R"(process = "agent"
host = "h2"
failure_domain = "warri"
peer_listen = "127.0.0.1:7001"
operator_listen = "127.0.0.1:7002"
endpoint = "engine-1"
endpoint_kind = "engine"
endpoint_address = "127.0.0.1:9000"
capacity = 16
)";

bool hasFault(const std::string &text, std::string_view expected)
{
    const config::Faults faults = parse("s.toml", text).faults;
    const bool isReported =
        std::any_of(faults.begin(), faults.end(),
                    [&](const config::Fault &fault) { return toString(fault) == expected; });
    if (!isReported) {
        for (const config::Fault &fault : faults) {
            BOOST_TEST_MESSAGE(toString(fault));
        }
    }
    return isReported;
}

const std::string kGateway = R"(process = "gateway"
host = "h3"
failure_domain = "warri"
listen = "127.0.0.1:8080"
ready_listen = "127.0.0.1:8081"
peer_listen = "127.0.0.1:8082"
operator_listen = "127.0.0.1:8083"
object_api = "127.0.0.1:6443"
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t place = text.find(from);
    BOOST_REQUIRE(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings_parser)

// The template of the gateway had sections, which simpler renderers than the platform's refuse.
BOOST_AUTO_TEST_CASE(keysOfTheEnvironmentPrecedeThoseOfTheFile)
{
    const std::string environment = "evacuation_bound = \"5 s\"\nlend_shares = true\n";
    const ParsedSettings parsed =
        parse("s.toml", kGateway + "[log]\nformat = \"json\"\n", environment);
    BOOST_TEST(parsed.faults.empty());
    const auto *const gateway = std::get_if<GatewaySettings>(&parsed.settings);
    BOOST_REQUIRE(gateway != nullptr);
    BOOST_TEST((gateway->evacuationBound == Duration(5s)));
    BOOST_TEST(gateway->lendsShares);
    BOOST_TEST((std::get<GatewaySettings>(parse("s.toml", kGateway, "").settings)
                == std::get<GatewaySettings>(parse("s.toml", kGateway).settings)));
}

BOOST_AUTO_TEST_CASE(faultsNameTheEnvironmentOrTheFile)
{
    const auto texts = [](const ParsedSettings &parsed) {
        std::vector<std::string> found;
        for (const config::Fault &fault : parsed.faults) {
            found.push_back(toString(fault));
        }
        return found;
    };
    const auto unknown = texts(parse("s.toml", kGateway + "two = 2\n", "one = 1\n"));
    BOOST_TEST_REQUIRE(unknown.size() == 2U);
    BOOST_TEST(unknown[0].starts_with("BASILHALL_SETTINGS:1:"));
    BOOST_TEST(unknown[1].starts_with("s.toml:9:"));
}

BOOST_AUTO_TEST_CASE(parsesEntrySettings)
{
    const ParsedSettings parsed =
        parse("s.toml",
              kEntry + "flush_interval = \"50 ms\"\n[log]\nlevel = \"debug\"\nformat = \"json\"\n");
    BOOST_TEST(parsed.faults.empty());
    const auto *const entry = std::get_if<EntrySettings>(&parsed.settings);
    BOOST_REQUIRE(entry != nullptr);
    BOOST_TEST(entry->host == HostName("h1"));
    BOOST_TEST(entry->objectNamespace == "basilhall");
    BOOST_TEST(entry->trafficThreads == 2U);
    BOOST_TEST((entry->flushInterval == 50ms));
    BOOST_TEST((entry->log.level == logging::Level::Debug));
    BOOST_TEST((entry->log.format == logging::Format::Json));
    BOOST_TEST(!entry->hostList.has_value());
}

BOOST_AUTO_TEST_CASE(parsesAgentSettings)
{
    const ParsedSettings parsed = parse("s.toml", kAgent + "honours_fencing = true\n");
    const auto *const agent = std::get_if<AgentSettings>(&parsed.settings);
    BOOST_REQUIRE(agent != nullptr);
    BOOST_TEST(agent->capacity == 16U);
    BOOST_TEST(agent->honoursFencing);
    BOOST_TEST((agent->endpointKind == manifest::EndpointKind::Engine));
}

// A deployment without these keys must not watch for evacuations or limit anything.
BOOST_AUTO_TEST_CASE(evacuationsRegionsAndColdEndpointsAreOffByDefault)
{
    const ParsedSettings parsed = parse("s.toml", kGateway);
    const auto *const gateway = std::get_if<GatewaySettings>(&parsed.settings);
    BOOST_REQUIRE(gateway != nullptr);
    BOOST_TEST(!gateway->evacuationBound.has_value());
    BOOST_TEST(gateway->regions.empty());
    BOOST_TEST(gateway->coldOvershoot == 1.0);
    BOOST_TEST(gateway->coldTolerance == 0.0);
    BOOST_TEST(!gateway->limitsWarmEndpoints);
    BOOST_TEST(!gateway->lendsShares);
}

BOOST_AUTO_TEST_CASE(parsesEvacuationsRegionsAndColdEndpoints)
{
    const ParsedSettings parsed =
        parse("s.toml",
              kGateway
                  + "evacuation_bound = \"5000 ms\"\nregions = \"warri=delta,jos=plateau\"\n"
                    "cold_overshoot = 1.5\ncold_tolerance = 5\nlimit_warm_endpoints = "
                    "true\nlend_shares = true\n");
    const auto *const gateway = std::get_if<GatewaySettings>(&parsed.settings);
    BOOST_REQUIRE(gateway != nullptr);
    BOOST_TEST((gateway->evacuationBound == std::optional<Duration>(5s)));
    const std::map<FailureDomain, std::string> regions{{FailureDomain("warri"), "delta"},
                                                       {FailureDomain("jos"), "plateau"}};
    BOOST_TEST((gateway->regions == regions));
    BOOST_TEST(gateway->coldOvershoot == 1.5);
    BOOST_TEST(gateway->coldTolerance == 5.0);
    BOOST_TEST(gateway->limitsWarmEndpoints);
    BOOST_TEST(gateway->lendsShares);
}

BOOST_AUTO_TEST_CASE(reportsFaultyEvacuationsRegionsAndColdEndpoints)
{
    BOOST_TEST(hasFault(kGateway + "evacuation_bound = \"999 ms\"\n",
                        "s.toml:9:20: evacuation_bound: must be from 1 s to 1 h"));
    BOOST_TEST(hasFault(kGateway + "evacuation_bound = \"61 min\"\n",
                        "s.toml:9:20: evacuation_bound: must be from 1 s to 1 h"));
    BOOST_TEST(hasFault(kGateway + "regions = \"warri=a,jos=b,warri=b\"\n",
                        "s.toml:9:11: regions: lists the failure domain \"warri\" twice"));
    BOOST_TEST(hasFault(kGateway + "regions = \"jos=b\"\n",
                        "s.toml:9:11: regions: lacks the own failure domain \"warri\""));
    for (const std::string entry : {"warri", "warri=", "=a", "warri=a=b", "warri=a b"}) {
        std::string text = kGateway;
        text.append("regions = \"").append(entry).append("\"\n");
        std::string fault = "s.toml:9:11: regions: has the entry \"";
        fault.append(entry).append("\", which is not `domain=region`");
        BOOST_TEST(hasFault(text, fault));
    }
    BOOST_TEST(hasFault(kGateway + "cold_overshoot = 0.9\n",
                        "s.toml:9:18: cold_overshoot: must be from 1 to 1000"));
    BOOST_TEST(hasFault(kGateway + "cold_tolerance = -1\n",
                        "s.toml:9:18: cold_tolerance: must be from 0 to 10000"));
}

BOOST_AUTO_TEST_CASE(faultsContainFileLineColumnAndKey)
{
    BOOST_TEST(hasFault(kEntry + "colour = 1\n", "s.toml:8:1: colour: is not a known key"));
    BOOST_TEST(hasFault(kEntry + "[log]\nsize = 1\n", "s.toml:9:1: log.size: is not a known key"));
    BOOST_TEST(hasFault(kEntry + "flush_interval = 20\n",
                        "s.toml:8:18: flush_interval: must be a string, not integer"));
    BOOST_TEST(
        hasFault(kEntry + "flush_interval = \"20\"\n",
                 "s.toml:8:18: flush_interval: \"20\" is not a whole number with a unit (us, "
                 "ms, s, min or h)"));
    BOOST_TEST(hasFault(kEntry + "flush_interval = \"1 min\"\n",
                        "s.toml:8:18: flush_interval: must be from 1 ms to 10 s"));
    BOOST_TEST(
        hasFault(kEntry + "[log]\nlevel = \"loud\"\n",
                 "s.toml:9:9: log.level: must be one of `debug`, `info`, `warning`, `error`, "
                 "`off`"));
    BOOST_TEST(hasFault(replaced(kAgent, "capacity = 16", "capacity = 0"),
                        "s.toml:9:12: capacity: must be from 1 to 100000"));
    BOOST_TEST(hasFault(replaced(kAgent, "endpoint = \"engine-1\"\n", ""),
                        "s.toml:1:1: endpoint: is missing"));
}

BOOST_AUTO_TEST_CASE(reportsContradictoryAndMisplacedKeys)
{
    BOOST_TEST(hasFault(replaced(kEntry, "127.0.0.1:8081", "127.0.0.1:8080"),
                        "s.toml:5:15: peer_listen: is the address of listen already"));
    BOOST_TEST(hasFault(replaced(kAgent, "127.0.0.1:9000", "127.0.0.1:7001"),
                        "s.toml:8:20: endpoint_address: is the address of peer_listen already"));
    BOOST_TEST(hasFault(replaced(kEntry, "127.0.0.1:6443", "127.0.0.1:0"),
                        "s.toml:7:14: object_api: must not have port 0"));
    BOOST_TEST(hasFault(kEntry + "capacity = 3\n",
                        "s.toml:8:12: capacity: is no key of entry settings, but of agent"));
    BOOST_TEST(parse("s.toml", kEntry + "capacity = 3\n").faults.size() == 1U);
    BOOST_TEST(
        hasFault(replaced(kEntry, "\"entry\"", "\"oven\""),
                 "s.toml:1:11: process: must be one of `entry`, `agent`, `gateway`, `steward`"));
}

BOOST_AUTO_TEST_CASE(isSettingsDistinguishesSettingsFromManifests)
{
    BOOST_TEST(isSettings(kEntry));
    BOOST_TEST(!isSettings("shard_count = 8\n"));
    BOOST_TEST(!isSettings("= broken"));
}

BOOST_AUTO_TEST_CASE(referencePageListsEveryKey)
{
    const std::string page = referencePage();
    for (const KeySpec &spec : keyTable()) {
        BOOST_TEST(page.find("| `" + std::string(spec.key) + "` |") != std::string::npos, spec.key);
        // A key without a default needs a reading function that returns nullopt.
        BOOST_TEST((spec.isRequired || !spec.defaultText.empty() || spec.type == KeyType::Path
                    || spec.type == KeyType::Address || spec.key == "evacuation_bound"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
