// One version of the operators' configuration: routes, services, teams and limits.
//
//     const Policy policy(7, {routes, services, teams, limits});
//     const Route *route = policy.findRoute("host.example", "/path/x");
//     const Team *team = policy.findTeam(key);
#pragma once

#include "basilhall/fleet/ingress_limits.h"
#include "basilhall/fleet/route.h"
#include "basilhall/fleet/service.h"
#include "basilhall/fleet/team.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace basilhall::fleet
{

struct PolicyContent {
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Team> teams;
    IngressLimits limits;

    auto operator<=>(const PolicyContent &) const = default;
};

// Immutable; safe to share between threads. Returned pointers are valid for the life of the policy.
class Policy
{
public:
    Policy(std::uint64_t version, PolicyContent content);
    Policy(const Policy &) = delete;
    Policy &operator=(const Policy &) = delete;

    std::uint64_t version() const { return m_version; }
    const PolicyContent &content() const { return m_content; }

    // Returns the route of `host` with the longest path prefix that matches `path`; nullptr if
    // there is none.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    // Returns the team with the API key `key`; nullptr if there is none.
    const Team *findTeam(const std::string &key) const;
    const Team *findTeam(const TeamName &name) const;
    const Service *findService(const std::string &name) const;
    bool hasTeams() const { return !m_content.teams.empty(); }

private:
    const std::uint64_t m_version;
    const PolicyContent m_content;
    // Routes of a host, longest path prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> m_routesByHost;
    std::unordered_map<std::string, const Team *> m_teamsByKey;
    std::unordered_map<TeamName, const Team *> m_teamsByName;
    std::unordered_map<std::string, const Service *> m_servicesByName;
};

using PolicyPtr = std::shared_ptr<const Policy>;

} // namespace basilhall::fleet
