#include "basilhall/manifest/internal/content_reader.h"

#include "basilhall/manifest/name.h"

#include <limits>

namespace basilhall::manifest::internal
{

namespace
{

constexpr double kMinRequestsPerSecond = 0.001;
constexpr double kMaxRequestsPerSecond = 1'000'000;
constexpr std::uint64_t kMaxWeight = 10'000;
constexpr std::uint64_t kMaxBurst = 1'000'000;
constexpr std::uint64_t kMaxCapacity = 100'000;
constexpr std::uint64_t kMaxTokens = 1'000'000'000'000;
// Keeps the line of one team or endpoint well below the maximum chunk size.
constexpr std::size_t kMaxListItems = 1'000;
constexpr Duration kMinTimeout = std::chrono::milliseconds(1);
constexpr Duration kMaxTimeout = std::chrono::hours(24);

std::uint32_t readCount(config::Table &table, std::string_view key, std::uint64_t maxValue,
                        std::uint32_t defaultValue)
{
    return static_cast<std::uint32_t>(
        table.unsignedInteger(key, 1, maxValue).value_or(defaultValue));
}

std::uint64_t readRequiredTokens(config::Table &table, std::string_view key)
{
    table.require(key);
    return table.unsignedInteger(key, 1, kMaxTokens).value_or(0);
}

std::string readRequiredName(config::Table &table, std::string_view key)
{
    table.require(key);
    const std::optional<std::string> name = table.string(key);
    if (name && !isName(*name)) {
        table.addFault(key, "must be 1 to 63 letters, digits, '-', '_' and '.'");
    }
    return name.value_or("");
}

Address readRequiredAddress(config::Table &table, std::string_view key)
{
    table.require(key);
    const std::optional<Address> address = table.address(key);
    if (address && address->port == 0) {
        table.addFault(key, "must not have port 0");
    }
    return address.value_or(Address{});
}

Priority readPriority(config::Table &table)
{
    const std::optional<std::string> name = table.string("priority");
    if (!name) {
        return Priority::Normal;
    }
    const std::optional<Priority> priority = priorityFromName(*name);
    if (!priority) {
        table.addFault("priority", "must be \"urgent\", \"normal\" or \"batch\"");
    }
    return priority.value_or(Priority::Normal);
}

EndpointKind readKind(config::Table &table)
{
    table.require("kind");
    const std::optional<std::string> name = table.string("kind");
    const std::optional<EndpointKind> kind = endpointKindFromName(name.value_or(""));
    if (name && !kind) {
        table.addFault("kind", "must be \"engine\" or \"service\"");
    }
    return kind.value_or(EndpointKind::Engine);
}

std::vector<std::string> readList(config::Table &table, std::string_view key)
{
    std::vector<std::string> items = table.strings(key).value_or(std::vector<std::string>{});
    if (items.size() > kMaxListItems) {
        table.addFault(key, "must have at most " + std::to_string(kMaxListItems) + " items");
    }
    return items;
}

std::vector<std::string> readKeyDigests(config::Table &table)
{
    std::vector<std::string> digests = readList(table, "key_digests");
    for (std::size_t i = 0; i < digests.size(); ++i) {
        if (!isKeyDigest(digests[i])) {
            table.addFaultAt("key_digests", i,
                             "must be the SHA-256 of a key, as 64 lower-case hexadecimal digits");
        }
    }
    return digests;
}

std::vector<ModelName> readModelNames(config::Table &table)
{
    std::vector<ModelName> models;
    for (std::string &name : readList(table, "models")) {
        models.emplace_back(std::move(name));
    }
    return models;
}

void checkName(config::Table &table, bool isValid)
{
    if (!isValid) {
        table.addFault("", "name \"" + table.name() + "\" is not valid");
    }
}

} // namespace

Team readTeam(config::Table &table)
{
    checkName(table, isName(table.name()));
    table.require("requests_per_second");
    table.require("burst");
    Team team;
    team.name = TeamName(table.name());
    team.weight = readCount(table, "weight", kMaxWeight, 1);
    team.requestsPerSecond =
        table.number("requests_per_second", kMinRequestsPerSecond, kMaxRequestsPerSecond)
            .value_or(0);
    team.burst = readCount(table, "burst", kMaxBurst, 1);
    team.programBudgetTokens = readRequiredTokens(table, "program_budget_tokens");
    team.keyDigests = readKeyDigests(table);
    team.priority = readPriority(table);
    team.routes = readList(table, "routes");
    team.models = readModelNames(table);
    table.reportUnknownKeys();
    return team;
}

Route readRoute(config::Table &table)
{
    checkName(table, isName(table.name()));
    Route route;
    route.name = table.name();
    route.idempotent = table.boolean("idempotent").value_or(false);
    route.openToAll = table.boolean("open_to_all").value_or(false);
    route.acceptsIdempotencyKeys = table.boolean("accepts_idempotency_keys").value_or(false);
    route.timeout = table.duration("timeout", kMinTimeout, kMaxTimeout).value_or(route.timeout);
    route.priority = readPriority(table);
    table.reportUnknownKeys();
    return route;
}

Model readModel(config::Table &table)
{
    checkName(table, isModelName(table.name()));
    Model model;
    model.name = ModelName(table.name());
    model.maxContextTokens = readRequiredTokens(table, "max_context_tokens");
    model.maxCompletionTokens = readRequiredTokens(table, "max_completion_tokens");
    if (model.maxContextTokens != 0 && model.maxCompletionTokens > model.maxContextTokens) {
        table.addFault("max_completion_tokens", "must not exceed max_context_tokens");
    }
    table.reportUnknownKeys();
    return model;
}

Endpoint readEndpoint(config::Table &table)
{
    checkName(table, isName(table.name()));
    table.require("serves");
    table.require("capacity");
    Endpoint endpoint;
    endpoint.name = EndpointName(table.name());
    endpoint.kind = readKind(table);
    endpoint.host = HostName(readRequiredName(table, "host"));
    endpoint.domain = FailureDomain(readRequiredName(table, "failure_domain"));
    endpoint.agent = readRequiredAddress(table, "agent");
    endpoint.address = readRequiredAddress(table, "address");
    const std::size_t faultsBefore = table.faultCount();
    endpoint.serves = readList(table, "serves");
    if (endpoint.serves.empty() && table.has("serves") && table.faultCount() == faultsBefore) {
        table.addFault("serves", "must name at least one model or route");
    }
    endpoint.capacity = readCount(table, "capacity", kMaxCapacity, 1);
    endpoint.honoursFencing = table.boolean("honours_fencing").value_or(false);
    endpoint.leaving = table.boolean("leaving").value_or(false);
    table.reportUnknownKeys();
    return endpoint;
}

} // namespace basilhall::manifest::internal
