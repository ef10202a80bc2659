#include "basilhall/manifest/diff.h"

#include "basilhall/config/duration_text.h"

#include <algorithm>
#include <sstream>

namespace basilhall::manifest
{

namespace
{

constexpr std::size_t kShownDigits = 12;

// The name of a field in the manifest and its value as text.
struct Field {
    std::string_view name;
    std::string text;
};

using Fields = std::vector<Field>;

std::string toText(double number)
{
    std::ostringstream out;
    out << number;
    return out.str();
}

std::string toText(bool value)
{
    return value ? "true" : "false";
}

template<typename Item>
std::string toText(const std::vector<Item> &items)
{
    std::ostringstream out;
    out << '[';
    for (std::size_t i = 0; i < items.size(); ++i) {
        out << (i == 0 ? "" : ", ") << items[i];
    }
    out << ']';
    return out.str();
}

// Key digests are compared one by one, see addKeyChanges().
Fields fieldsOf(const Team &team)
{
    return {{"weight", std::to_string(team.weight)},
            {"requests_per_second", toText(team.requestsPerSecond)},
            {"burst", std::to_string(team.burst)},
            {"program_budget_tokens", std::to_string(team.programBudgetTokens)},
            {"priority", std::string(toString(team.priority))},
            {"routes", toText(team.routes)},
            {"models", toText(team.models)}};
}

Fields fieldsOf(const Route &route)
{
    return {{"idempotent", toText(route.idempotent)},
            {"open_to_all", toText(route.openToAll)},
            {"accepts_idempotency_keys", toText(route.acceptsIdempotencyKeys)},
            {"timeout", config::toString(route.timeout)},
            {"priority", std::string(toString(route.priority))}};
}

Fields fieldsOf(const Model &model)
{
    return {{"max_context_tokens", std::to_string(model.maxContextTokens)},
            {"max_completion_tokens", std::to_string(model.maxCompletionTokens)}};
}

Fields fieldsOf(const Endpoint &endpoint)
{
    return {{"kind", std::string(toString(endpoint.kind))},
            {"host", endpoint.host.value()},
            {"failure_domain", endpoint.domain.value()},
            {"agent", toString(endpoint.agent)},
            {"address", toString(endpoint.address)},
            {"serves", toText(endpoint.serves)},
            {"capacity", std::to_string(endpoint.capacity)},
            {"honours_fencing", toText(endpoint.honoursFencing)},
            {"leaving", toText(endpoint.leaving)}};
}

template<typename Name>
std::string label(std::string_view type, const Name &name)
{
    std::ostringstream out;
    out << type << " \"" << name << '"';
    return out.str();
}

void addKeyChanges(const std::string &owner, const std::vector<std::string> &from,
                   const std::vector<std::string> &to, std::string_view what,
                   std::vector<std::string> &changes)
{
    for (const std::string &digest : from) {
        if (std::find(to.begin(), to.end(), digest) == to.end()) {
            changes.push_back(owner + ": key " + digest.substr(0, kShownDigits) + "... "
                              + std::string(what));
        }
    }
}

template<typename Value>
void addOtherChanges(const std::string &, const Value &, const Value &, std::vector<std::string> &)
{
}

void addOtherChanges(const std::string &owner, const Team &before, const Team &after,
                     std::vector<std::string> &changes)
{
    addKeyChanges(owner, before.keyDigests, after.keyDigests, "withdrawn", changes);
    addKeyChanges(owner, after.keyDigests, before.keyDigests, "issued", changes);
}

template<typename Value>
void addFieldChanges(const std::string &owner, const Value &before, const Value &after,
                     std::vector<std::string> &changes)
{
    const Fields old = fieldsOf(before);
    const Fields next = fieldsOf(after);
    for (std::size_t i = 0; i < old.size(); ++i) {
        if (old[i].text != next[i].text) {
            changes.push_back(owner + ": " + std::string(old[i].name) + " " + old[i].text + " -> "
                              + next[i].text);
        }
    }
    addOtherChanges(owner, before, after, changes);
}

template<typename Map>
void addChanges(std::string_view type, const Map &before, const Map &after,
                std::vector<std::string> &changes)
{
    for (const auto &[name, value] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            changes.push_back(label(type, name) + " removed");
        } else if (value != found->second) {
            addFieldChanges(label(type, name), value, found->second, changes);
        }
    }
    for (const auto &[name, value] : after) {
        if (!before.contains(name)) {
            changes.push_back(label(type, name) + " added");
        }
    }
}

} // namespace

std::vector<std::string> changesBetween(const Content &before, const Content &after)
{
    std::vector<std::string> changes;
    if (before.shardCount != after.shardCount) {
        changes.push_back("shard_count " + std::to_string(before.shardCount) + " -> "
                          + std::to_string(after.shardCount));
    }
    addChanges("model", before.models, after.models, changes);
    addChanges("route", before.routes, after.routes, changes);
    addChanges("endpoint", before.endpoints, after.endpoints, changes);
    addChanges("team", before.teams, after.teams, changes);
    return changes;
}

std::vector<std::string> withdrawnKeys(const Content &before, const Content &after)
{
    std::vector<std::string> withdrawn;
    for (const auto &[name, team] : before.teams) {
        const auto found = after.teams.find(name);
        if (found != after.teams.end() && found->second.keyDigests == team.keyDigests) {
            continue;
        }
        const std::vector<std::string> left =
            found == after.teams.end() ? std::vector<std::string>{} : found->second.keyDigests;
        for (const std::string &digest : team.keyDigests) {
            if (std::find(left.begin(), left.end(), digest) == left.end()) {
                withdrawn.push_back(label("team", name) + ": key " + digest.substr(0, kShownDigits)
                                    + "...");
            }
        }
    }
    return withdrawn;
}

} // namespace basilhall::manifest
