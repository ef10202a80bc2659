#include "basilhall/fleet/version_history.h"

#include <set>

namespace basilhall::fleet
{

void VersionHistory::begin(Instant now)
{
    if (!m_begin) {
        m_begin = now;
    }
}

void VersionHistory::onReplaced(const Endpoint &before, Instant now)
{
    m_replaced.insert_or_assign({before.service, before.version}, now);
}

std::optional<std::string>
VersionHistory::onlyVersion(const std::string &service,
                            const std::unordered_map<EndpointName, Endpoint> &registered,
                            Instant since) const
{
    if (!m_begin || *m_begin > since) {
        return std::nullopt;
    }
    std::set<std::string> versions;
    for (const auto &[name, endpoint] : registered) {
        if (endpoint.service == service) {
            versions.insert(endpoint.version);
        }
    }
    for (const auto &[replaced, at] : m_replaced) {
        if (replaced.first == service && at >= since) {
            versions.insert(replaced.second);
        }
    }
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

} // namespace basilhall::fleet
