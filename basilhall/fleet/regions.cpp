#include "basilhall/fleet/regions.h"

#include "basilhall/fleet/policy.h"

#include <algorithm>
#include <iterator>

namespace basilhall::fleet
{

AllowedRegions allowedRegions(const std::vector<std::string> &first,
                              const std::vector<std::string> &second)
{
    if (first.empty() && second.empty()) {
        return std::nullopt;
    }
    const std::set<std::string> a(first.begin(), first.end());
    const std::set<std::string> b(second.begin(), second.end());
    if (a.empty() || b.empty()) {
        return a.empty() ? b : a;
    }
    std::set<std::string> both;
    std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::inserter(both, both.end()));
    return both;
}

bool Regions::allows(const AllowedRegions &allowed, const FailureDomain &domain) const
{
    if (!allowed) {
        return true;
    }
    const auto found = m_byDomain.find(domain);
    return found != m_byDomain.end() && allowed->contains(found->second);
}

bool Regions::allows(const std::vector<std::string> &allowed, const FailureDomain &domain) const
{
    if (allowed.empty()) {
        return true;
    }
    const auto found = m_byDomain.find(domain);
    return found != m_byDomain.end()
        && std::find(allowed.begin(), allowed.end(), found->second) != allowed.end();
}

std::set<FailureDomain> Regions::domainsIn(const std::set<std::string> &allowed) const
{
    std::set<FailureDomain> domains;
    for (const auto &[domain, region] : m_byDomain) {
        if (allowed.contains(region)) {
            domains.insert(domain);
        }
    }
    return domains;
}

UnservedRegions unservedRegions(const PolicyContent &content, const Regions &regions)
{
    UnservedRegions unserved;
    const auto isUnserved = [&](const std::vector<std::string> &allowed) {
        const std::set<std::string> names(allowed.begin(), allowed.end());
        if (allowed.empty() || !regions.domainsIn(names).empty()) {
            return false;
        }
        unserved.regions.insert(names.begin(), names.end());
        return true;
    };
    for (const Route &route : content.routes) {
        if (isUnserved(route.allowedRegions)) {
            unserved.routes.push_back(route.name);
        }
    }
    for (const Team &team : content.teams) {
        if (isUnserved(team.allowedRegions)) {
            unserved.teams.push_back(team.name.value());
        }
    }
    return unserved;
}

} // namespace basilhall::fleet
