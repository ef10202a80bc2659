#include "basilhall/fleet/policy.h"

#include <algorithm>

namespace basilhall::fleet
{

namespace
{

template<typename Map, typename Key>
auto findOrNull(const Map &map, const Key &key) -> typename Map::mapped_type
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

Policy::Policy(std::uint64_t version, PolicyContent content)
    : m_version(version)
    , m_content(std::move(content))
{
    for (const Route &route : m_content.routes) {
        m_routesByHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
    for (const Team &team : m_content.teams) {
        m_teamsByName.emplace(team.name, &team);
        for (const std::string &key : team.keys) {
            m_teamsByKey.emplace(key, &team);
        }
    }
    for (const Service &service : m_content.services) {
        m_servicesByName.emplace(service.name, &service);
    }
}

const Route *Policy::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(std::string(host));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    const auto route =
        std::find_if(found->second.begin(), found->second.end(), [path](const Route *candidate) {
            return path.starts_with(candidate->pathPrefix);
        });
    return route == found->second.end() ? nullptr : *route;
}

const Team *Policy::findTeam(const std::string &key) const
{
    return findOrNull(m_teamsByKey, key);
}

const Team *Policy::findTeam(const TeamName &name) const
{
    return findOrNull(m_teamsByName, name);
}

const Service *Policy::findService(const std::string &name) const
{
    return findOrNull(m_servicesByName, name);
}

} // namespace basilhall::fleet
