#include "basilhall/manifest/parser.h"

#include "basilhall/config/document.h"
#include "basilhall/manifest/internal/content_reader.h"
#include "basilhall/manifest/internal/reference_checks.h"

#include <utility>

namespace basilhall::manifest
{

namespace
{

constexpr std::uint64_t kMaxShardCount = 65'536;

// Reads each table below `key` into `values` and returns the tables, in name order.
template<typename Map, typename Reader>
std::vector<config::Table> readAll(config::Table &root, std::string_view key, Reader reader,
                                   Map &values)
{
    std::vector<config::Table> tables = root.tables(key);
    for (config::Table &table : tables) {
        auto value = reader(table);
        auto name = value.name;
        values.emplace(std::move(name), std::move(value));
    }
    return tables;
}

// `values` and `tables` are both sorted by name, so their elements correspond.
template<typename Map, typename Check>
void checkAll(std::vector<config::Table> &tables, const Map &values, Check check)
{
    auto table = tables.begin();
    for (const auto &[name, value] : values) {
        check(value, *table);
        ++table;
    }
}

void readContent(config::Table &root, Content &content)
{
    root.require("shard_count");
    content.shardCount = static_cast<std::uint32_t>(
        root.unsignedInteger("shard_count", 1, kMaxShardCount).value_or(1));
    auto teams = readAll(root, "teams", internal::readTeam, content.teams);
    auto routes = readAll(root, "routes", internal::readRoute, content.routes);
    readAll(root, "models", internal::readModel, content.models);
    auto endpoints = readAll(root, "endpoints", internal::readEndpoint, content.endpoints);
    root.reportUnknownKeys();

    internal::ReferenceChecks checks(content);
    checkAll(routes, content.routes, [&checks](const Route &route, config::Table &table) {
        checks.checkRoute(route, table);
    });
    checkAll(teams, content.teams,
             [&checks](const Team &team, config::Table &table) { checks.checkTeam(team, table); });
    checkAll(endpoints, content.endpoints,
             [&checks](const Endpoint &endpoint, config::Table &table) {
                 checks.checkEndpoint(endpoint, table);
             });
}

} // namespace

ParsedContent parse(std::string file, std::string_view text)
{
    config::Document document(std::move(file), text);
    ParsedContent parsed;
    if (document.isReadable()) {
        config::Table root = document.root();
        Content content;
        readContent(root, content);
        parsed.content = std::move(content);
    }
    parsed.faults = document.faults();
    if (!parsed.faults.empty()) {
        parsed.content.reset();
    }
    return parsed;
}

config::Faults checkChange(const std::string &file, const Content &inForce, const Content &next)
{
    config::Faults faults;
    if (inForce.shardCount != next.shardCount) {
        faults.push_back({file, 0, 0, "shard_count",
                          "must stay " + std::to_string(inForce.shardCount)
                              + ", the count in force, not " + std::to_string(next.shardCount)});
    }
    return faults;
}

} // namespace basilhall::manifest
