#include "basilhall/fleet/endpoint_directory.h"

#include <algorithm>
#include <utility>

namespace basilhall::fleet
{

EndpointDirectory::EndpointDirectory(Duration gracePeriod)
    : m_gracePeriod(gracePeriod)
{
}

void EndpointDirectory::replaceAll(const std::vector<Endpoint> &listed, bool afterOutage,
                                   Instant now)
{
    std::unordered_map<EndpointName, Endpoint> present;
    for (const Endpoint &endpoint : listed) {
        present.emplace(endpoint.name, endpoint);
    }
    const std::unordered_map<EndpointName, Instant> lapsedBefore = std::exchange(m_lapsed, {});
    const bool isInGracePeriod = m_gracePeriodEnd && now < *m_gracePeriodEnd;
    if (!isInGracePeriod) {
        m_gracePeriodEnd.reset();
    }
    if ((afterOutage || isInGracePeriod) && !m_endpoints.empty()) {
        if (afterOutage) {
            noteOutage(now);
        }
        for (const auto &[name, endpoint] : m_endpoints) {
            if (!present.contains(name)) {
                const auto before = lapsedBefore.find(name);
                m_lapsed.emplace(name, before == lapsedBefore.end() ? now : before->second);
                present.emplace(name, endpoint);
            }
        }
    }
    m_endpoints = std::move(present);
}

void EndpointDirectory::noteOutage(Instant now)
{
    extendGracePeriod(now + m_gracePeriod);
}

void EndpointDirectory::extendGracePeriod(Instant end)
{
    m_gracePeriodEnd = std::max(m_gracePeriodEnd.value_or(end), end);
}

void EndpointDirectory::set(const Endpoint &endpoint)
{
    m_endpoints.insert_or_assign(endpoint.name, endpoint);
    m_lapsed.erase(endpoint.name);
}

void EndpointDirectory::remove(const EndpointName &name, Instant now)
{
    if (m_gracePeriodEnd && now < *m_gracePeriodEnd && m_endpoints.contains(name)) {
        m_lapsed.try_emplace(name, now);
        return;
    }
    m_endpoints.erase(name);
    m_lapsed.erase(name);
}

std::vector<EndpointName> EndpointDirectory::expire(Instant now)
{
    if (!m_gracePeriodEnd || now < *m_gracePeriodEnd) {
        return {};
    }
    m_gracePeriodEnd.reset();
    std::vector<EndpointName> dropped;
    for (const auto &[name, knownAt] : std::exchange(m_lapsed, {})) {
        m_endpoints.erase(name);
        dropped.push_back(name);
    }
    return dropped;
}

std::optional<Instant> EndpointDirectory::nextExpiry() const
{
    return m_gracePeriodEnd;
}

std::vector<Endpoint> EndpointDirectory::registered() const
{
    std::vector<Endpoint> endpoints;
    for (const auto &[name, endpoint] : m_endpoints) {
        if (!m_lapsed.contains(name)) {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

std::optional<Duration> EndpointDirectory::removedFor(const EndpointName &name, Instant now) const
{
    const auto found = m_lapsed.find(name);
    return found == m_lapsed.end() ? std::nullopt : std::optional(now - found->second);
}

const Endpoint *EndpointDirectory::find(const EndpointName &name) const
{
    const auto found = m_endpoints.find(name);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

} // namespace basilhall::fleet
