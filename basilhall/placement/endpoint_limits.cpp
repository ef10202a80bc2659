#include "basilhall/placement/endpoint_limits.h"

namespace basilhall::placement
{

void EndpointLimits::setGateways(const HostName &self, const std::set<HostName> &hosts, Instant now)
{
    if (m_self == self && m_hosts == hosts) {
        return;
    }
    m_self = self;
    m_hosts = hosts;
    for (const auto &[name, stated] : m_named.all()) {
        updateAllowance(name, now);
    }
}

bool EndpointLimits::onAnswer(const fleet::Endpoint &endpoint, std::optional<double> perSecond,
                              Instant now)
{
    if (!m_named.add(endpoint.name, {endpoint.startedAt, perSecond, now})) {
        return false;
    }
    updateAllowance(endpoint.name, now);
    m_changed.insert(endpoint.name);
    return true;
}

bool EndpointLimits::onPeerAnswer(const EndpointName &name, const NamedLimit &stated, Instant now)
{
    if (!m_named.add(name, stated)) {
        return false;
    }
    updateAllowance(name, now);
    return true;
}

void EndpointLimits::updateAllowance(const EndpointName &name, Instant now)
{
    const auto stated = m_named.all().find(name);
    if (stated == m_named.all().end() || !stated->second.perSecond) {
        m_allowances.erase(name);
        return;
    }
    const RateShare share = rateShare(name, *stated->second.perSecond, m_self, m_hosts);
    const auto [at, isNew] = m_allowances.try_emplace(name, share, now);
    if (!isNew) {
        at->second.setShare(share, now);
    }
}

std::vector<std::pair<EndpointName, NamedLimit>> EndpointLimits::takeChanges()
{
    std::vector<std::pair<EndpointName, NamedLimit>> changes;
    for (const EndpointName &name : std::exchange(m_changed, {})) {
        const auto found = m_named.all().find(name);
        if (found != m_named.all().end()) {
            changes.emplace_back(*found);
        }
    }
    return changes;
}

std::optional<double> EndpointLimits::limitOf(const fleet::Endpoint &endpoint) const
{
    return m_named.find(endpoint);
}

const SendAllowance *EndpointLimits::allowanceOf(const fleet::Endpoint &endpoint) const
{
    if (!m_named.find(endpoint)) {
        return nullptr;
    }
    const auto found = m_allowances.find(endpoint.name);
    return found == m_allowances.end() ? nullptr : &found->second;
}

bool EndpointLimits::admits(const fleet::Endpoint &endpoint, Instant now) const
{
    const SendAllowance *allowance = allowanceOf(endpoint);
    return allowance == nullptr || allowance->admits(now);
}

std::optional<Duration> EndpointLimits::wait(const fleet::Endpoint &endpoint, Instant now) const
{
    const SendAllowance *allowance = allowanceOf(endpoint);
    return allowance == nullptr ? Duration::zero() : allowance->wait(now);
}

double EndpointLimits::shareOf(const fleet::Endpoint &endpoint) const
{
    const SendAllowance *allowance = allowanceOf(endpoint);
    return allowance == nullptr ? 0 : allowance->share().perSecond;
}

void EndpointLimits::onSent(const fleet::Endpoint &endpoint, Instant now)
{
    if (allowanceOf(endpoint) != nullptr) {
        m_allowances.at(endpoint.name).onSent(now);
    }
}

void EndpointLimits::expire(Instant now)
{
    m_named.expire(now);
    std::erase_if(m_allowances,
                  [this](const auto &entry) { return !m_named.all().contains(entry.first); });
}

} // namespace basilhall::placement
