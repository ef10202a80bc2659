#include "basilhall/fleet/endpoint_directory.h"

#include <algorithm>
#include <utility>

namespace basilhall::fleet
{

EndpointDirectory::EndpointDirectory(Duration returnGrace)
    : m_returnGrace(returnGrace)
{
}

void EndpointDirectory::replaceAll(const std::vector<Endpoint> &listed, bool afterOutage,
                                   Instant now)
{
    std::unordered_map<EndpointName, Endpoint> present;
    for (const Endpoint &endpoint : listed) {
        present.emplace(endpoint.name, endpoint);
    }
    m_lapsed.clear();
    const bool isInGrace = m_graceEnd && now < *m_graceEnd;
    if (!isInGrace) {
        m_graceEnd.reset();
    }
    if ((afterOutage || isInGrace) && !m_endpoints.empty()) {
        noteTrouble(now);
        for (const auto &[name, endpoint] : m_endpoints) {
            if (!present.contains(name)) {
                m_lapsed.push_back(name);
                present.emplace(name, endpoint);
            }
        }
    }
    m_endpoints = std::move(present);
}

void EndpointDirectory::noteTrouble(Instant now)
{
    m_graceEnd = std::max(m_graceEnd.value_or(now), now + m_returnGrace);
}

void EndpointDirectory::set(const Endpoint &endpoint)
{
    m_endpoints.insert_or_assign(endpoint.name, endpoint);
    std::erase(m_lapsed, endpoint.name);
}

void EndpointDirectory::remove(const EndpointName &name, Instant now)
{
    if (m_graceEnd && now < *m_graceEnd && m_endpoints.contains(name)) {
        m_lapsed.push_back(name);
        return;
    }
    m_endpoints.erase(name);
}

std::vector<EndpointName> EndpointDirectory::expire(Instant now)
{
    if (!m_graceEnd || now < *m_graceEnd) {
        return {};
    }
    m_graceEnd.reset();
    for (const EndpointName &name : m_lapsed) {
        m_endpoints.erase(name);
    }
    return std::exchange(m_lapsed, {});
}

std::optional<Instant> EndpointDirectory::nextExpiry() const
{
    return m_graceEnd;
}

const Endpoint *EndpointDirectory::find(const EndpointName &name) const
{
    const auto found = m_endpoints.find(name);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

} // namespace basilhall::fleet
