#include "basilhall/command/internal/process_status.h"

#include "basilhall/command/internal/operator_client.h"

#include <boost/json/object.hpp>
#include <map>
#include <utility>

namespace basilhall::command::internal
{

namespace
{

namespace json = boost::json;

std::string text(const json::object &object, std::string_view key)
{
    const json::value *const value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::uint64_t number(const json::object &object, std::string_view key)
{
    const json::value *const value = object.if_contains(key);
    if (value == nullptr || !value->is_number()) {
        return 0;
    }
    json::error_code failure;
    return value->to_number<std::uint64_t>(failure);
}

bool flag(const json::object &object, std::string_view key)
{
    const json::value *const value = object.if_contains(key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::string agentState(const json::object &endpoint)
{
    std::string state = flag(endpoint, "healthy") ? "serving" : "endpoint does not answer";
    if (flag(endpoint, "draining")) {
        state = "draining";
    }
    return state + ", running " + std::to_string(number(endpoint, "running")) + " of "
        + std::to_string(number(endpoint, "capacity")) + ", queued "
        + std::to_string(number(endpoint, "queued"));
}

std::string entryState(const json::object &document)
{
    std::string state = flag(document, "draining") ? "draining" : "serving";
    if (flag(document, "journal_sealed")) {
        state = "sealed by a successor";
    }
    const json::value *const shards = document.if_contains("owned_shards");
    const std::size_t count = shards != nullptr && shards->is_array()
        ? shards->get_array().size()
        : number(document, "owned_shards");
    return state + ", " + std::to_string(count) + " shards, "
        + std::to_string(number(document, "programs")) + " programs, "
        + std::to_string(number(document, "calls_in_progress")) + " calls";
}

ProcessStatus agentRow(const json::object &endpoint)
{
    return {"agent", text(endpoint, "endpoint"), number(endpoint, "manifest_generation"), true,
            agentState(endpoint)};
}

} // namespace

std::vector<ProcessStatus> statusRows(const json::value &document)
{
    std::vector<ProcessStatus> rows;
    if (!document.is_object()) {
        return rows;
    }
    const json::object &object = document.get_object();
    if (text(object, "role") == "agent") {
        rows.push_back(agentRow(object));
        return rows;
    }
    rows.push_back({"entry", text(object, "host"), number(object, "manifest_generation"), true,
                    entryState(object)});
    const json::value *const endpoints = object.if_contains("endpoints");
    if (endpoints == nullptr || !endpoints->is_array()) {
        return rows;
    }
    for (const json::value &endpoint : endpoints->get_array()) {
        if (endpoint.is_object()) {
            rows.push_back(agentRow(endpoint.get_object()));
        }
    }
    return rows;
}

std::vector<ProcessStatus> collectStatus(const std::vector<Address> &processes)
{
    std::map<std::pair<std::string, std::string>, ProcessStatus> rows;
    const auto add = [&rows](ProcessStatus row) {
        const std::pair key(row.role, row.name);
        const auto [place, isNew] = rows.emplace(key, row);
        if (!isNew && place->second.generation < row.generation) {
            place->second = std::move(row);
        }
    };
    for (const Address &process : processes) {
        const Result<json::value> document = askForJson(process, "/status");
        if (!document) {
            add({"entry", toString(process), 0, false, document.error().message()});
            continue;
        }
        for (ProcessStatus &row : statusRows(document.value())) {
            add(std::move(row));
        }
    }
    std::vector<ProcessStatus> ordered;
    ordered.reserve(rows.size());
    for (auto &[key, row] : rows) {
        ordered.push_back(std::move(row));
    }
    return ordered;
}

} // namespace basilhall::command::internal
