#include "basilhall/ownership/dead_owners.h"

#include <algorithm>

namespace basilhall::ownership
{

using membership::EntryHost;
using membership::HostState;

DeadOwners::DeadOwners(HostName host, Incarnation incarnation)
    : m_self(std::move(host))
    , m_incarnation(std::move(incarnation))
{
}

void DeadOwners::setHosts(std::vector<EntryHost> hosts)
{
    m_hosts.clear();
    for (EntryHost &host : hosts) {
        const HostName name = host.host;
        m_hosts.insert_or_assign(name, std::move(host));
    }
}

bool DeadOwners::isDead(const ShardOwner &owner, Instant now)
{
    if (owner.host == m_self) {
        return owner.incarnation != m_incarnation;
    }
    const auto found = m_hosts.find(owner.host);
    if (found == m_hosts.end()) {
        return false;
    }
    const EntryHost &host = found->second;
    if (host.state == HostState::Dead) {
        return true;
    }
    if (host.incarnation.isEmpty() || host.incarnation == owner.incarnation) {
        m_supersededSince.erase(owner.incarnation);
        return false;
    }
    return isSuperseded(owner, now);
}

bool DeadOwners::isSuperseded(const ShardOwner &owner, Instant now)
{
    const Instant since = m_supersededSince.try_emplace(owner.incarnation, now).first->second;
    const Instant trustedAt = since + kRestartGrace;
    if (now >= trustedAt) {
        return true;
    }
    m_recheckAt = std::min(m_recheckAt.value_or(trustedAt), trustedAt);
    return false;
}

bool DeadOwners::isLive(const HostName &host) const
{
    const auto found = m_hosts.find(host);
    return found != m_hosts.end() && found->second.state == HostState::Live;
}

} // namespace basilhall::ownership
