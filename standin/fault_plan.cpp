#include "standin/fault_plan.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <stdexcept>

namespace standin
{

namespace json = boost::json;

namespace
{

struct KindName {
    FaultKind kind;
    std::string_view name;
};

constexpr std::array kKindNames = {
    KindName{FaultKind::Delay, "delay"},         KindName{FaultKind::Hang, "hang"},
    KindName{FaultKind::Status, "status"},       KindName{FaultKind::DropBefore, "dropBefore"},
    KindName{FaultKind::DropAfter, "dropAfter"}, KindName{FaultKind::DelayAfter, "delayAfter"},
    KindName{FaultKind::Truncate, "truncate"},   KindName{FaultKind::Garble, "garble"},
};

FaultKind kindFromName(std::string_view name)
{
    for (const KindName &entry : kKindNames) {
        if (entry.name == name) {
            return entry.kind;
        }
    }
    throw std::invalid_argument("fault kind \"" + std::string(name) + "\" does not exist");
}

std::string_view nameOf(FaultKind kind)
{
    return kKindNames.at(static_cast<std::size_t>(kind)).name;
}

FaultRule parseRule(const json::object &fields)
{
    FaultRule rule;
    rule.kind = kindFromName(fields.at("kind").as_string());
    for (const auto &[key, value] : fields) {
        if (key == "delayMs") {
            rule.delayMs = value.to_number<int>();
        } else if (key == "status") {
            rule.status = value.to_number<int>();
        } else if (key == "afterBytes") {
            rule.afterBytes = value.to_number<std::size_t>();
        } else if (key == "count") {
            rule.count = value.to_number<std::int64_t>();
        } else if (key == "share") {
            rule.share = value.to_number<double>();
        } else if (key == "methods") {
            rule.methods = json::value_to<std::vector<std::string>>(value);
        } else if (key == "pathContains") {
            rule.pathContains = json::value_to<std::string>(value);
        } else if (key != "kind") {
            throw std::invalid_argument("fault field \"" + std::string(key) + "\" does not exist");
        }
    }
    return rule;
}

} // namespace

void FaultPlan::replace(const json::object &fields)
{
    std::vector<FaultRule> rules;
    if (const json::value *list = fields.if_contains("rules")) {
        for (const json::value &entry : list->as_array()) {
            rules.push_back(parseRule(entry.as_object()));
        }
    }
    if (const json::value *seed = fields.if_contains("seed")) {
        m_random.seed(seed->to_number<std::uint64_t>());
    }
    m_rules = std::move(rules);
    ++m_generation;
}

std::optional<FaultRule> FaultPlan::take(std::string_view method, std::string_view path)
{
    for (FaultRule &rule : m_rules) {
        if (!matches(rule, method, path)) {
            continue;
        }
        ++rule.hits;
        if (rule.count > 0) {
            --rule.count;
        }
        return rule;
    }
    return std::nullopt;
}

bool FaultPlan::matches(const FaultRule &rule, std::string_view method, std::string_view path)
{
    if (rule.count == 0) {
        return false;
    }
    if (!rule.methods.empty()
        && std::find(rule.methods.begin(), rule.methods.end(), method) == rule.methods.end()) {
        return false;
    }
    if (path.find(rule.pathContains) == std::string_view::npos) {
        return false;
    }
    return rule.share >= 1.0 || std::uniform_real_distribution<>()(m_random) < rule.share;
}

std::string FaultPlan::describe() const
{
    json::array rules;
    for (const FaultRule &rule : m_rules) {
        rules.push_back(json::object{{"kind", nameOf(rule.kind)},
                                     {"count", rule.count},
                                     {"share", rule.share},
                                     {"pathContains", rule.pathContains},
                                     {"hits", rule.hits}});
    }
    return json::serialize(json::object{{"rules", rules}});
}

} // namespace standin
