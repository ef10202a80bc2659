#include "basilhall/manifest/line_codec.h"

#include "basilhall/config/json_fields.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace basilhall::manifest
{

namespace
{

namespace json = boost::json;
using config::JsonFields;

constexpr std::string_view kTypeMember = "type";

json::array toArray(const std::vector<std::string> &items)
{
    return json::array(items.begin(), items.end());
}

json::array toArray(const std::vector<ModelName> &items)
{
    json::array array;
    for (const ModelName &item : items) {
        array.emplace_back(item.value());
    }
    return array;
}

json::object encode(const Team &team)
{
    return {{kTypeMember, "team"},
            {"name", team.name.value()},
            {"weight", team.weight},
            {"requests_per_second", team.requestsPerSecond},
            {"burst", team.burst},
            {"program_budget_tokens", team.programBudgetTokens},
            {"key_digests", toArray(team.keyDigests)},
            {"priority", toString(team.priority)},
            {"routes", toArray(team.routes)},
            {"models", toArray(team.models)}};
}

json::object encode(const Route &route)
{
    return {{kTypeMember, "route"},
            {"name", route.name},
            {"idempotent", route.idempotent},
            {"open_to_all", route.openToAll},
            {"accepts_idempotency_keys", route.acceptsIdempotencyKeys},
            {"timeout_ns", route.timeout.count()},
            {"priority", toString(route.priority)}};
}

json::object encode(const Model &model)
{
    return {{kTypeMember, "model"},
            {"name", model.name.value()},
            {"max_context_tokens", model.maxContextTokens},
            {"max_completion_tokens", model.maxCompletionTokens}};
}

json::object encode(const Endpoint &endpoint)
{
    return {{kTypeMember, "endpoint"},
            {"name", endpoint.name.value()},
            {"kind", toString(endpoint.kind)},
            {"host", endpoint.host.value()},
            {"failure_domain", endpoint.domain.value()},
            {"agent", toString(endpoint.agent)},
            {"address", toString(endpoint.address)},
            {"serves", toArray(endpoint.serves)},
            {"capacity", endpoint.capacity},
            {"honours_fencing", endpoint.honoursFencing},
            {"leaving", endpoint.leaving}};
}

template<typename Map>
void encodeAll(std::string_view type, const Map &values,
               const std::function<void(const Line &)> &take)
{
    for (const auto &[name, value] : values) {
        const json::object object = encode(value);
        const std::string_view nameText = object.at("name").as_string();
        take({std::string(type) + "/" + std::string(nameText), json::serialize(object)});
    }
}

Priority readPriority(JsonFields &fields)
{
    const std::optional<Priority> priority = priorityFromName(fields.string("priority"));
    if (!priority) {
        fields.addFault("priority", "is not known");
    }
    return priority.value_or(Priority::Normal);
}

Address readAddress(JsonFields &fields, std::string_view key)
{
    const Result<Address> address = parseAddress(fields.string(key));
    if (!address) {
        fields.addFault(key, "is not an address");
        return {};
    }
    return address.value();
}

EndpointKind readKind(JsonFields &fields)
{
    const std::optional<EndpointKind> kind = endpointKindFromName(fields.string("kind"));
    if (!kind) {
        fields.addFault("kind", "is not known");
    }
    return kind.value_or(EndpointKind::Engine);
}

template<typename Map, typename Value, typename Name>
Result<void> add(const JsonFields &fields, Map &values, const Name &name, Value value)
{
    BOOST_OUTCOME_TRY(fields.finish());
    if (!values.emplace(name, std::move(value)).second) {
        return Error(ErrorKind::Corrupt, "declares its name a second time");
    }
    return success();
}

Result<void> decodeShards(JsonFields &fields, Content &content)
{
    const std::uint32_t count = fields.count("count");
    if (count == 0 || content.shardCount != 0) {
        fields.addFault("count", "is 0 or declared twice");
    }
    content.shardCount = count;
    return fields.finish();
}

Result<void> decodeTeam(JsonFields &fields, Content &content)
{
    Team team;
    team.name = TeamName(fields.string("name"));
    team.weight = fields.count("weight");
    team.requestsPerSecond = fields.number("requests_per_second");
    team.burst = fields.count("burst");
    team.programBudgetTokens = fields.unsignedInteger("program_budget_tokens");
    team.keyDigests = fields.strings("key_digests");
    team.priority = readPriority(fields);
    team.routes = fields.strings("routes");
    for (std::string &model : fields.strings("models")) {
        team.models.emplace_back(std::move(model));
    }
    return add(fields, content.teams, team.name, team);
}

Result<void> decodeRoute(JsonFields &fields, Content &content)
{
    Route route;
    route.name = fields.string("name");
    route.idempotent = fields.boolean("idempotent");
    route.openToAll = fields.boolean("open_to_all");
    route.acceptsIdempotencyKeys = fields.boolean("accepts_idempotency_keys");
    route.timeout = Duration(fields.signedInteger("timeout_ns"));
    route.priority = readPriority(fields);
    return add(fields, content.routes, route.name, route);
}

Result<void> decodeModel(JsonFields &fields, Content &content)
{
    Model model;
    model.name = ModelName(fields.string("name"));
    model.maxContextTokens = fields.unsignedInteger("max_context_tokens");
    model.maxCompletionTokens = fields.unsignedInteger("max_completion_tokens");
    return add(fields, content.models, model.name, model);
}

Result<void> decodeEndpoint(JsonFields &fields, Content &content)
{
    Endpoint endpoint;
    endpoint.name = EndpointName(fields.string("name"));
    endpoint.kind = readKind(fields);
    endpoint.host = HostName(fields.string("host"));
    endpoint.domain = FailureDomain(fields.string("failure_domain"));
    endpoint.agent = readAddress(fields, "agent");
    endpoint.address = readAddress(fields, "address");
    endpoint.serves = fields.strings("serves");
    endpoint.capacity = fields.count("capacity");
    endpoint.honoursFencing = fields.boolean("honours_fencing");
    endpoint.leaving = fields.boolean("leaving");
    return add(fields, content.endpoints, endpoint.name, endpoint);
}

} // namespace

void forEachLine(const Content &content, const std::function<void(const Line &)> &take)
{
    const json::object shards{{kTypeMember, "shards"}, {"count", content.shardCount}};
    take({"shards", json::serialize(shards)});
    encodeAll("model", content.models, take);
    encodeAll("route", content.routes, take);
    encodeAll("endpoint", content.endpoints, take);
    encodeAll("team", content.teams, take);
}

Result<void> decodeLine(std::string_view line, Content &content)
{
    json::error_code fault;
    const json::value parsed = json::parse(line, fault);
    if (fault || !parsed.is_object()) {
        return Error(ErrorKind::Corrupt, "is not a JSON object");
    }
    JsonFields fields(parsed.get_object());
    const std::string type = fields.string(kTypeMember);
    if (type == "shards") {
        return decodeShards(fields, content);
    }
    if (type == "team") {
        return decodeTeam(fields, content);
    }
    if (type == "route") {
        return decodeRoute(fields, content);
    }
    if (type == "model") {
        return decodeModel(fields, content);
    }
    if (type == "endpoint") {
        return decodeEndpoint(fields, content);
    }
    return Error(ErrorKind::Corrupt, "declares \"" + type + "\", which is not known");
}

} // namespace basilhall::manifest
