// The regions of the failure domains, and the regions that a request may reach.
//
//     const Regions regions({{FailureDomain("z1"), "north"}});
//     const AllowedRegions allowed = allowedRegions(route.allowedRegions, team.allowedRegions);
//     if (regions.allows(allowed, endpoint.failureDomain)) { ... }
#pragma once

#include "basilhall/base/identifier.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace basilhall::fleet
{

struct PolicyContent;

// The names of the allowed regions; nullopt if there is no restriction. An empty set allows none.
using AllowedRegions = std::optional<std::set<std::string>>;

// Returns the regions that both lists allow. An empty list is no restriction.
AllowedRegions allowedRegions(const std::vector<std::string> &first,
                              const std::vector<std::string> &second);

// Immutable value.
class Regions
{
public:
    Regions() = default;
    explicit Regions(std::map<FailureDomain, std::string> byDomain)
        : m_byDomain(std::move(byDomain))
    {
    }

    // A failure domain without a region is allowed only if there is no restriction.
    bool allows(const AllowedRegions &allowed, const FailureDomain &domain) const;
    // The same for a list of names; an empty list is no restriction.
    bool allows(const std::vector<std::string> &allowed, const FailureDomain &domain) const;
    // Returns the failure domains in the regions.
    std::set<FailureDomain> domainsIn(const std::set<std::string> &allowed) const;

    bool operator==(const Regions &) const = default;

private:
    std::map<FailureDomain, std::string> m_byDomain;
};

// The routes and teams of a configuration whose allowed regions contain no failure domain, so that
// all of their requests are refused. Immutable value.
struct UnservedRegions {
    std::vector<std::string> routes;
    std::vector<std::string> teams;
    // The regions that they allow.
    std::set<std::string> regions;

    bool isEmpty() const { return routes.empty() && teams.empty(); }
    bool operator==(const UnservedRegions &) const = default;
};

UnservedRegions unservedRegions(const PolicyContent &content, const Regions &regions);

} // namespace basilhall::fleet
