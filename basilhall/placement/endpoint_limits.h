// The request limits of endpoints, and what this gateway may send to each of them: limits that
// endpoints state in answers, and those of cold endpoints. The lower one applies.
//
//     EndpointLimits limits;
//     limits.setGateways(self, hosts, now);
//     limits.setEndpoint(endpoint, service.coldTime, service.coldPerSecond, now);
//     limits.onAnswer(endpoint, 5.5, now);
//     if (limits.admits(endpoint, now)) {
//         limits.onSent(endpoint, now);
//     }
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/fleet/endpoint.h"
#include "basilhall/placement/named_limits.h"
#include "basilhall/placement/send_allowance.h"
#include "basilhall/placement/send_window.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace basilhall::placement
{

// Why an endpoint is treated as cold.
enum class ColdCause {
    // Its registration states it.
    Registered,
    // Another process of it started.
    Started,
    // The evacuation of its failure domain ended.
    EvacuationEnded,
    // A connection to it was refused or broke, so it may have started again.
    ConnectionLost,
};

// An endpoint that is treated as cold from now on. Immutable value.
struct ColdNotice {
    EndpointName endpoint;
    ColdCause cause = ColdCause::Registered;
    Instant until;

    auto operator<=>(const ColdNotice &) const = default;
};

// An endpoint that is no longer treated as cold. Immutable value.
struct ColdEnd {
    EndpointName endpoint;
    // Requests that this gateway sent to it meanwhile.
    std::uint64_t sends = 0;

    auto operator<=>(const ColdEnd &) const = default;
};

// Not thread-safe.
class EndpointLimits
{
public:
    // The hosts of all gateways, which share each limit. Before the first call, this gateway counts
    // as the only one. A host that is no longer listed keeps its share of cold endpoints for
    // kDepartedTime: gateways that cannot reach it may have removed it while it still sends.
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

    // What cold endpoints tolerate in a second: `coldPerSecond` times `overshoot`, and `tolerance`
    // requests.
    void setColdTolerance(double overshoot, double tolerance);
    // If false, endpoints that are not known to be cold are not limited, although they may become
    // cold without notice.
    void setLimitsWarm(bool limitsWarm) { m_limitsWarm = limitsWarm; }
    // An endpoint was registered whose service limits requests to cold endpoints to
    // `coldPerSecond`, 0 if it does not. It is treated as cold until `coldUntil`, and for
    // `coldTime` after a start.
    void setEndpoint(const fleet::Endpoint &endpoint, Duration coldTime, double coldPerSecond,
                     Instant now);
    // Its registration was removed. What was sent to it is kept for kRetention.
    void onRemoved(const EndpointName &name, Instant now);
    // Treats the endpoint as cold for the cold time of its service. Nothing for endpoints of
    // services without a limit on cold endpoints.
    void treatAsCold(const EndpointName &name, ColdCause cause, Instant now);
    bool isCold(const EndpointName &name, Instant now) const;
    // True if any endpoint may be cold.
    bool isAnyCold(Instant now) const { return now < m_anyColdUntil; }
    // Endpoints that are treated as cold since the last call, and were not before.
    std::vector<ColdNotice> takeColdNotices() { return std::exchange(m_notices, {}); }
    // Endpoints that takeColdNotices() returned and that are no longer treated as cold, shortly
    // after the end. Call it several times a second.
    std::vector<ColdEnd> takeColdEnds(Instant now);
    // Requests that this gateway sent to cold endpoints since the last call.
    std::uint64_t takeColdSends() { return std::exchange(m_coldSends, 0); }
    // What this gateway sent to the endpoint since the last call; nothing if its service has no
    // limit on cold endpoints.
    SendCounts takeSends(const EndpointName &name);
    // Another gateway sent these requests since its last report.
    void onPeerSends(const EndpointName &name, const SendCounts &counts, Instant now);

    // Deducts one request from this gateway's own share of the endpoint, so that another gateway
    // can send it. Returns false if the share is used up, or the endpoint has no limit.
    bool lend(const EndpointName &name, Instant now);
    // Another gateway lent one request to this one, which may be sent before `until`.
    void onBorrowed(const EndpointName &name, Instant until);

    // The limit that the endpoint states, for all gateways; nullopt if it has none.
    std::optional<double> limitOf(const fleet::Endpoint &endpoint) const;
    // The same; the limit on cold endpoints if that is lower.
    std::optional<double> limitOf(const fleet::Endpoint &endpoint, Instant now) const;
    // True if the endpoint has no limit, or this gateway may send it a request now.
    bool admits(const fleet::Endpoint &endpoint, Instant now) const;
    // Time until admits(); nullopt if other gateways hold the limit that the endpoint states.
    std::optional<Duration> wait(const fleet::Endpoint &endpoint, Instant now) const;
    // Requests a second that this gateway may send to an endpoint that states a limit.
    double shareOf(const fleet::Endpoint &endpoint) const;
    // The same; its share of the limit on cold endpoints if that is lower.
    double shareOf(const fleet::Endpoint &endpoint, Instant now) const;
    // Call it for every request that is sent, whether the endpoint will run it or not.
    void onSent(const fleet::Endpoint &endpoint, Instant now);
    void expire(Instant now);

    // Longer than gateways that cannot reach each other take to register again.
    static constexpr Duration kDepartedTime = std::chrono::minutes(2);

private:
    // An endpoint of a service with a limit on cold endpoints.
    struct ColdState {
        Duration coldTime{};
        double perSecond = 0;
        WallMillis startedAt = 0;
        Instant coldUntil = Instant::min();
        // It turned cold, and takeColdEnds() has not returned it since.
        bool isReported = false;
        std::uint64_t coldSends = 0;
        std::optional<Instant> removedAt;
        SendWindow window;
    };

    const ColdState *coldStateOf(const EndpointName &name) const;
    void updateWindow(const EndpointName &name, ColdState &state) const;
    void updateWindows();
    void extendCold(const EndpointName &name, ColdState &state, ColdCause cause, Instant until,
                    Instant now);
    bool hasBorrowed(const EndpointName &name, Instant now) const;
    // The allowance that applies to the endpoint; nullptr if it has no limit.
    const SendAllowance *allowanceOf(const fleet::Endpoint &endpoint) const;
    void updateAllowance(const EndpointName &name, Instant now);

    bool m_limitsWarm = true;
    HostName m_self;
    std::set<HostName> m_hosts;
    NamedLimits m_named;
    std::map<EndpointName, SendAllowance> m_allowances;
    std::set<EndpointName> m_changed;
    // Hosts that are no longer listed, with the time since when.
    std::map<HostName, Instant> m_departed;
    double m_overshoot = 1;
    double m_tolerance = 0;
    std::unordered_map<EndpointName, ColdState> m_cold;
    // The latest `coldUntil`.
    Instant m_anyColdUntil = Instant::min();
    // Ends of the time in which each borrowed request may be sent.
    std::unordered_map<EndpointName, std::vector<Instant>> m_borrowed;
    std::vector<ColdNotice> m_notices;
    std::uint64_t m_coldSends = 0;
};

} // namespace basilhall::placement
