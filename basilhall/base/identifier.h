// Identifiers that cannot be mixed up: a TeamName does not convert to a ProgramId.
//
//     const TeamName team("haulers");
//     std::unordered_map<TeamName, int> counts;
#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace basilhall
{

// A string of one kind. `Tag` only tells the kinds apart. Immutable value.
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;
    explicit Identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    auto operator<=>(const Identifier &) const = default;

    friend std::ostream &operator<<(std::ostream &out, const Identifier &identifier)
    {
        return out << identifier.m_value;
    }

private:
    std::string m_value;
};

using TeamName = Identifier<struct TeamNameTag>;
using ProgramId = Identifier<struct ProgramIdTag>;
using CallId = Identifier<struct CallIdTag>;
using HostName = Identifier<struct HostNameTag>;
using EndpointName = Identifier<struct EndpointNameTag>;
using ModelName = Identifier<struct ModelNameTag>;
using FailureDomain = Identifier<struct FailureDomainTag>;
// A fresh random name of one run of one process; 32 lower-case hexadecimal digits.
using Incarnation = Identifier<struct IncarnationTag>;

} // namespace basilhall

template<typename Tag>
struct std::hash<basilhall::Identifier<Tag>> {
    std::size_t operator()(const basilhall::Identifier<Tag> &identifier) const noexcept
    {
        return std::hash<std::string>()(identifier.value());
    }
};
