#include "basilhall/settings/parser.h"

#include "basilhall/config/document.h"
#include "basilhall/manifest/name.h"
#include "basilhall/settings/internal/settings_reader.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace basilhall::settings
{

namespace
{

using internal::SettingsReader;

// An address and the key that holds it.
struct NamedAddress {
    std::string_view key;
    Address address;
};

// Adds a fault for every duplicate: two listeners of a process cannot share an address, and a
// process does not connect to itself.
void checkDistinct(const std::vector<NamedAddress> &addresses, config::Table &root)
{
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const bool isUsed = !addresses[i].address.ip.empty() && addresses[i].address.port != 0;
            if (isUsed && addresses[i].address == addresses[j].address) {
                root.addFault(addresses[i].key,
                              "is the address of " + std::string(addresses[j].key) + " already");
            }
        }
    }
}

// Adds a fault for port 0, which selects a free port and is only valid for listeners.
void checkConnectable(std::string_view key, const Address &address, config::Table &root)
{
    if (!address.ip.empty() && address.port == 0) {
        root.addFault(key, "must not have port 0");
    }
}

logging::LogSettings readLog(SettingsReader &reader)
{
    logging::LogSettings log;
    log.level = logging::levelFromName(reader.choice("log.level")).value_or(logging::Level::Info);
    log.format =
        reader.choice("log.format") == "json" ? logging::Format::Json : logging::Format::Text;
    log.file = reader.path("log.file").value_or("");
    return log;
}

EntrySettings readEntry(SettingsReader &reader, config::Table &root)
{
    EntrySettings entry;
    entry.host = HostName(reader.name("host"));
    entry.failureDomain = FailureDomain(reader.name("failure_domain"));
    entry.listen = reader.address("listen");
    entry.peerListen = reader.address("peer_listen");
    entry.operatorListen = reader.address("operator_listen");
    entry.objectApi = reader.address("object_api");
    entry.objectNamespace = reader.name("object_namespace");
    entry.hostList = reader.optionalAddress("host_list");
    entry.dataFolder = reader.path("data_folder");
    entry.trafficThreads = reader.count("traffic_threads");
    entry.flushInterval = reader.duration("flush_interval");
    entry.log = readLog(reader);
    checkDistinct({{"listen", entry.listen},
                   {"peer_listen", entry.peerListen},
                   {"operator_listen", entry.operatorListen},
                   {"object_api", entry.objectApi}},
                  root);
    checkConnectable("object_api", entry.objectApi, root);
    checkConnectable("host_list", entry.hostList.value_or(Address{}), root);
    return entry;
}

AgentSettings readAgent(SettingsReader &reader, config::Table &root)
{
    AgentSettings agent;
    agent.host = HostName(reader.name("host"));
    agent.failureDomain = FailureDomain(reader.name("failure_domain"));
    agent.endpoint = EndpointName(reader.name("endpoint"));
    agent.endpointKind = manifest::endpointKindFromName(reader.choice("endpoint_kind"))
                             .value_or(manifest::EndpointKind::Engine);
    agent.endpointAddress = reader.address("endpoint_address");
    agent.peerListen = reader.address("peer_listen");
    agent.operatorListen = reader.address("operator_listen");
    agent.capacity = reader.count("capacity");
    agent.honoursFencing = reader.flag("honours_fencing");
    agent.log = readLog(reader);
    checkDistinct({{"peer_listen", agent.peerListen},
                   {"operator_listen", agent.operatorListen},
                   {"endpoint_address", agent.endpointAddress}},
                  root);
    checkConnectable("endpoint_address", agent.endpointAddress, root);
    return agent;
}

// Decodes `domain=region,domain=region`. Adds a fault for each entry that is malformed or names a
// domain again, and if `own` is missing from a list that is not empty.
std::map<FailureDomain, std::string> readRegions(const std::string &text, const FailureDomain &own,
                                                 config::Table &root)
{
    constexpr std::string_view kKey = "regions";
    std::map<FailureDomain, std::string> regions;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const std::string entry = text.substr(begin, end - begin);
        const std::size_t separator = std::min(entry.find('='), entry.size());
        const std::string domain = entry.substr(0, separator);
        const std::string region = separator < entry.size() ? entry.substr(separator + 1) : "";
        if (!manifest::isName(domain) || !manifest::isName(region)) {
            root.addFault(kKey, "has the entry \"" + entry + "\", which is not `domain=region`");
        } else if (!regions.emplace(FailureDomain(domain), region).second) {
            root.addFault(kKey, "lists the failure domain \"" + domain + "\" twice");
        }
        begin = end + 1;
    }
    if (!regions.empty() && !regions.contains(own)) {
        root.addFault(kKey, "lacks the own failure domain \"" + own.value() + "\"");
    }
    return regions;
}

GatewaySettings readGateway(SettingsReader &reader, config::Table &root)
{
    GatewaySettings gateway;
    gateway.host = HostName(reader.name("host"));
    gateway.failureDomain = FailureDomain(reader.name("failure_domain"));
    gateway.listen = reader.address("listen");
    gateway.readyListen = reader.address("ready_listen");
    gateway.peerListen = reader.address("peer_listen");
    gateway.operatorListen = reader.address("operator_listen");
    gateway.objectApi = reader.address("object_api");
    gateway.shutdownGrace = reader.duration("shutdown_grace");
    constexpr double kMinCores = 0.001;
    constexpr double kMaxCores = 1024;
    gateway.processorMillis = static_cast<std::uint32_t>(
        std::lround(1000 * reader.number("processor_share", kMinCores, kMaxCores)));
    gateway.evacuationBound = reader.optionalDuration("evacuation_bound");
    gateway.regions = readRegions(reader.text("regions"), gateway.failureDomain, root);
    constexpr double kMaxOvershoot = 1000;
    constexpr double kMaxTolerance = 10'000;
    gateway.coldOvershoot = reader.number("cold_overshoot", 1, kMaxOvershoot);
    gateway.coldTolerance = reader.number("cold_tolerance", 0, kMaxTolerance);
    gateway.limitsWarmEndpoints = reader.flag("limit_warm_endpoints");
    gateway.lendsShares = reader.flag("lend_shares");
    constexpr std::size_t kMebibyte = 1024UL * 1024;
    gateway.keptTurnMemory = reader.count("kept_turn_memory") * kMebibyte;
    gateway.log = readLog(reader);
    checkDistinct({{"listen", gateway.listen},
                   {"ready_listen", gateway.readyListen},
                   {"peer_listen", gateway.peerListen},
                   {"operator_listen", gateway.operatorListen},
                   {"object_api", gateway.objectApi}},
                  root);
    checkConnectable("object_api", gateway.objectApi, root);
    return gateway;
}

StewardSettings readSteward(SettingsReader &reader, config::Table &root)
{
    StewardSettings steward;
    steward.host = HostName(reader.name("host"));
    steward.failureDomain = FailureDomain(reader.name("failure_domain"));
    steward.operatorListen = reader.address("operator_listen");
    steward.objectApi = reader.address("object_api");
    steward.log = readLog(reader);
    checkConnectable("object_api", steward.objectApi, root);
    return steward;
}

// Reads the settings of `kind` with `read` if `process` is its name.
template<typename Read>
bool readIf(ProcessKind kind, const std::optional<std::string> &process, config::Table &root,
            ParsedSettings &parsed, const Read &read)
{
    if (process != toString(kind)) {
        return false;
    }
    SettingsReader reader(root, kind);
    parsed.settings = read(reader, root);
    reader.reportUnknownKeys();
    return true;
}

void readSettings(config::Table &root, ParsedSettings &parsed)
{
    root.require("process");
    const std::optional<std::string> process = root.string("process");
    const bool isKnown = readIf(ProcessKind::Entry, process, root, parsed, readEntry)
        || readIf(ProcessKind::Agent, process, root, parsed, readAgent)
        || readIf(ProcessKind::Gateway, process, root, parsed, readGateway)
        || readIf(ProcessKind::Steward, process, root, parsed, readSteward);
    if (process && !isKnown) {
        root.addFault("process", "must be one of `entry`, `agent`, `gateway`, `steward`");
    }
}

} // namespace

std::string_view toString(ProcessKind kind)
{
    switch (kind) {
    case ProcessKind::Entry:
        return "entry";
    case ProcessKind::Agent:
        return "agent";
    case ProcessKind::Gateway:
        return "gateway";
    case ProcessKind::Steward:
        break;
    }
    return "steward";
}

ParsedSettings parse(std::string file, std::string_view text, std::string_view environment)
{
    std::string all(environment);
    if (!all.empty()) {
        all += '\n';
    }
    const auto linesBefore = static_cast<std::uint32_t>(std::count(all.begin(), all.end(), '\n'));
    all += text;
    config::Document document(std::move(file), all);
    ParsedSettings parsed;
    if (document.isReadable()) {
        config::Table root = document.root();
        readSettings(root, parsed);
    }
    parsed.faults = document.faults();
    for (config::Fault &fault : parsed.faults) {
        if (fault.line > linesBefore) {
            fault.line -= linesBefore;
        } else if (fault.line > 0) {
            fault.file = kSettingsVariable;
        }
    }
    if (!parsed.faults.empty()) {
        parsed.settings = std::monostate();
    }
    return parsed;
}

bool isSettings(std::string_view text)
{
    config::Document document("", text);
    return document.isReadable() && document.root().has("process");
}

} // namespace basilhall::settings
