// The faults of one stand-in: an ordered list of rules and a seeded source of chance.
//
//     plan.replace(boost::json::parse(R"({"rules": [{"kind": "dropAfter", "count": 3}]})"));
//     if (auto rule = plan.take("POST", "/invoices")) { ... }
#pragma once

#include "standin/fault_rule.h"

#include <boost/json/fwd.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace standin
{

// Not thread-safe.
class FaultPlan
{
public:
    // Replaces all rules by those of `fields`. Throws std::invalid_argument if one is wrong.
    void replace(const boost::json::object &fields);
    // Returns the first rule that takes this request and counts it.
    std::optional<FaultRule> take(std::string_view method, std::string_view path);
    // Grows with each replace().
    std::uint64_t generation() const { return m_generation; }
    // The rules with what is left of them, as JSON.
    std::string describe() const;

private:
    bool matches(const FaultRule &rule, std::string_view method, std::string_view path);

    std::vector<FaultRule> m_rules;
    std::mt19937_64 m_random;
    std::uint64_t m_generation = 0;
};

} // namespace standin
