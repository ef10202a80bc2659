// The limits that endpoints state, and what this gateway may send to each of them.
//
//     EndpointLimits limits;
//     limits.setGateways(self, hosts, now);
//     limits.onAnswer(endpoint, 5.5, now);
//     if (limits.admits(endpoint, now)) {
//         limits.onSent(endpoint, now);
//     }
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/fleet/endpoint.h"
#include "basilhall/placement/named_limits.h"
#include "basilhall/placement/send_allowance.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace basilhall::placement
{

// Not thread-safe.
class EndpointLimits
{
public:
    // The hosts of all gateways, which share each limit. Before the first call, this gateway counts
    // as the only one.
    void setGateways(const HostName &self, const std::set<HostName> &hosts, Instant now);

    std::size_t gatewayCount() const { return std::max<std::size_t>(m_hosts.size(), 1); }

    // An answer to this gateway stated a limit, or none. Returns false if the limit stays as it
    // was.
    bool onAnswer(const fleet::Endpoint &endpoint, std::optional<double> perSecond, Instant now);
    // Another gateway got such an answer, at `stated.statedAt` on the time line of this process.
    // Returns false if the limit stays as it was.
    bool onPeerAnswer(const EndpointName &name, const NamedLimit &stated, Instant now);
    // Statements that the peers have not been told of.
    std::vector<std::pair<EndpointName, NamedLimit>> takeChanges();
    const std::map<EndpointName, NamedLimit> &statements() const { return m_named.all(); }

    // The limit that applies to the endpoint, for all gateways; nullopt if it has none.
    std::optional<double> limitOf(const fleet::Endpoint &endpoint) const;
    // True if the endpoint has no limit, or this gateway may send it a request now.
    bool admits(const fleet::Endpoint &endpoint, Instant now) const;
    // Time until admits(); nullopt if other gateways hold the limit of the endpoint.
    std::optional<Duration> wait(const fleet::Endpoint &endpoint, Instant now) const;
    // Requests a second that this gateway may send to an endpoint with a limit.
    double shareOf(const fleet::Endpoint &endpoint) const;
    // Call it for every request that is sent, whether the endpoint will run it or not.
    void onSent(const fleet::Endpoint &endpoint, Instant now);
    void expire(Instant now);

private:
    // The allowance that applies to the endpoint; nullptr if it has no limit.
    const SendAllowance *allowanceOf(const fleet::Endpoint &endpoint) const;
    void updateAllowance(const EndpointName &name, Instant now);

    HostName m_self;
    std::set<HostName> m_hosts;
    NamedLimits m_named;
    std::map<EndpointName, SendAllowance> m_allowances;
    std::set<EndpointName> m_changed;
};

} // namespace basilhall::placement
