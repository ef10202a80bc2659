// One gateway's view of the fleet: configuration, endpoints, limits, kept turns and budgets.
//
//     FleetState state(self, fleetTraits(settings));
//     state.applyPolicy(policy, now);
//     state.setEndpoint(endpoint, now);
//     Result<void> admitted = state.admit(team, beginsProgram, now);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/fleet/endpoint_directory.h"
#include "basilhall/fleet/evacuations.h"
#include "basilhall/fleet/leaving_endpoints.h"
#include "basilhall/fleet/policy.h"
#include "basilhall/fleet/regions.h"
#include "basilhall/fleet/version_history.h"
#include "basilhall/gateway/fleet_traits.h"
#include "basilhall/gateway/team_use.h"
#include "basilhall/hostload/host_load.h"
#include "basilhall/limit/shared_rate.h"
#include "basilhall/placement/placement.h"
#include "basilhall/placement/program_starts.h"
#include "basilhall/placement/share_loans.h"
#include "basilhall/resumption/origin_table.h"
#include "basilhall/resumption/output_table.h"
#include "basilhall/suspects/crash_evidence.h"
#include "basilhall/suspects/request_families.h"
#include "basilhall/turns/budget_ledger.h"
#include "basilhall/turns/turn_table.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace basilhall::gateway
{

// Registrations that lapsed while the store was unavailable are renewed within 2 s of its recovery;
// the remainder covers the delivery of the change.
inline constexpr Duration kRegistrationGrace = std::chrono::milliseconds(2200);
// Registrations lapse after three missed heartbeats of 1.2 s, so the store must have been
// unavailable for most of that time. A shorter failure, such as one late answer, must not keep the
// registrations of endpoints that leave.
inline constexpr Duration kStoreOutageThreshold = std::chrono::seconds(2);

// The endpoints that the object API lists. Immutable value.
struct EndpointListing {
    std::vector<fleet::Endpoint> endpoints;
    // The object API was unavailable before: registrations of running endpoints may be missing, and
    // those that lapsed stay valid for this time.
    Duration graceLeft{};

    auto operator<=>(const EndpointListing &) const = default;
};

// Not thread-safe.
class FleetState
{
public:
    FleetState(Incarnation self, FleetTraits traits);
    // For a deployment whose settings state only the failure domain of this gateway.
    FleetState(Incarnation self, FailureDomain domain);

    const Incarnation &self() const { return m_self; }
    const FleetTraits &traits() const { return m_traits; }

    // Applies a version; false if it is not newer than the one in force.
    bool applyPolicy(const fleet::PolicyPtr &policy, Instant now);
    // The version in force; nullptr before the first.
    const fleet::PolicyPtr &policy() const { return m_policy; }

    void replaceEndpoints(const std::vector<fleet::Endpoint> &listed, bool afterOutage,
                          Instant now);
    // Records a store outage that calls of this gateway have met, during which registrations may
    // lapse although their endpoints run.
    void noteStoreOutage(Instant at) { m_directory.noteOutage(at); }
    // Records a store outage at `at` that other gateways have met. Ignored while the list of
    // endpoints is current: then the store serves others, and registrations are renewed.
    void noteReportedOutage(Instant at, Instant now);
    // Applies the list of a peer. Its grace period counts like a reported outage.
    void replaceEndpoints(const EndpointListing &listing, Instant now);
    // Returns false if nothing but the remaining cold time of a known endpoint changed.
    bool setEndpoint(const fleet::Endpoint &endpoint, Instant now);
    void removeEndpoint(const EndpointName &name, Instant now);
    // Drops registrations that were not renewed within the grace period. Returns their number.
    std::size_t expireEndpoints(Instant now);
    // When expireEndpoints() has to be called next, because removals are kept back until then.
    std::optional<Instant> nextEndpointExpiry() const { return m_directory.nextExpiry(); }
    // The registered endpoints, to pass to a peer.
    EndpointListing endpointListing(Instant now) const;
    std::size_t endpointCount() const { return m_directory.endpoints().size(); }
    // The list of endpoints was known to be complete and current at `at`: it came from a gateway
    // that sees no outage of the store, or was made then.
    // Ignored for a moment after this host stood still: what arrives then may have waited here.
    void noteEndpointsCurrent(Instant at);
    // Called several times a second, so that a standstill of this host is noticed.
    void onTick(Instant now);
    // nullopt before the first list.
    std::optional<Instant> endpointsCurrentAt() const { return m_endpointsCurrentAt; }
    bool hasEndpoint(const EndpointName &name) const;
    // nullptr if there is none.
    const fleet::Endpoint *endpoint(const EndpointName &name) const
    {
        return m_directory.find(name);
    }
    // Time since the removal of the registration became known, for an endpoint that may get work
    // nevertheless because its registration may have lapsed in an outage; nothing for others.
    std::optional<Duration> removedFor(const EndpointName &name, Instant now) const;
    // Number of endpoints for which removedFor() returns a time.
    std::size_t lapsedCount() const { return m_directory.lapsedCount(); }
    // The only version of the service that was registered in the last `span`; nullopt if there were
    // several, or if the list of endpoints is shorter known or not current.
    std::optional<std::string> onlyVersion(const std::string &service, Duration span,
                                           Instant now) const;
    // The endpoint announced that it leaves: this process of it gets no new requests, whatever its
    // registration states. Returns false if that was known.
    bool markLeaving(const fleet::Endpoint &endpoint, Instant now);
    // True if the registration states that the endpoint leaves, or it announced that.
    bool isLeaving(const fleet::Endpoint &endpoint) const;

    // Applies a list of the evacuated failure domains that was current at `at`; see
    // EvacuationView::apply().
    std::optional<fleet::EvacuationView::Change> applyEvacuations(const fleet::Evacuations &listed,
                                                                  Instant at, Instant now);
    // The known list of evacuations was current at `at`.
    void noteEvacuationsCurrent(Instant at) { m_evacuations.noteCurrent(at); }
    const fleet::EvacuationView &evacuations() const { return m_evacuations; }
    // Whether a request may be sent to the endpoint now.
    fleet::SendDecision decideSend(const fleet::Endpoint &endpoint, Instant now) const
    {
        return m_evacuations.decide(endpoint.failureDomain, now);
    }
    // The failure domains of the registered endpoints.
    std::set<FailureDomain> endpointDomains() const;

    // This gateway stops at `at`: what runs then is cut off. Requests that may take longer are to
    // be refused from now on.
    void setStopsAt(Instant at) { m_stopsAt = at; }
    // nullopt unless it stops.
    std::optional<Instant> stopsAt() const { return m_stopsAt; }

    // Takes one request from the team's limit; RateLimited with a retry time if none is left.
    // Requests that begin a program are refused earlier, so that programs in progress can finish.
    Result<void> admit(const TeamName &team, bool beginsProgram, Instant now);
    // Returns a request, admitted at `admittedAt` or later, that has not run to the limit.
    void refund(const TeamName &team, Instant admittedAt, Instant now);
    void onPeerUse(const TeamUse &use, Instant now);
    // This gateway and the peers from which it receives updates, `reachable` of `members` gateways
    // in total, exchange the numbers of admitted requests and together use that share of the
    // limits.
    void setLimitShare(std::uint32_t reachable, std::uint32_t members, Instant now);
    // Returns the requests admitted and refunded for each team since the last call.
    std::vector<TeamUse> takeTeamUses();

    // The regions of the failure domains, at first those of the traits. Call setRegions() before
    // requests are served.
    void setRegions(fleet::Regions regions) { m_regions = std::move(regions); }
    const fleet::Regions &regions() const { return m_regions; }
    // True if a host of this gateway's failure domain may hold turns with these allowed regions.
    bool mayHold(const std::vector<std::string> &allowedRegions) const
    {
        return m_regions.allows(allowedRegions, m_traits.ownDomain);
    }

    placement::Placement &placement() { return m_placement; }
    const placement::Placement &placement() const { return m_placement; }
    placement::ProgramStarts &programStarts() { return m_programStarts; }
    // Loans of unused shares of endpoint limits between gateways.
    placement::ShareLoans &shareLoans() { return m_shareLoans; }
    // Whether this host keeps up with its own work.
    hostload::HostLoad &hostLoad() { return m_hostLoad; }
    const hostload::HostLoad &hostLoad() const { return m_hostLoad; }
    // Requests that may have crashed endpoints.
    suspects::CrashEvidence &crashes() { return m_crashes; }
    // The same for the single bodies of requests that crashes() knows by their family.
    suspects::CrashEvidence &bodyCrashes() { return m_bodyCrashes; }
    suspects::RequestFamilies &families() { return m_families; }
    // Drops what is held against requests without confirmation, or for long.
    void expireSuspects(Instant now);
    // Where the streams began that this gateway was told of.
    resumption::OriginTable &origins() { return m_origins; }
    const resumption::OriginTable &origins() const { return m_origins; }
    resumption::OutputTable &outputs() { return m_outputs; }
    turns::TurnTable &turns() { return m_turns; }
    turns::BudgetLedger &budgets() { return m_budgets; }

private:
    bool isListCurrent(Instant now) const;
    void checkStandstill(Instant now);
    void placeAll(Instant now);
    void place(const fleet::Endpoint &endpoint, Instant now);

    Incarnation m_self;
    FleetTraits m_traits;
    fleet::Regions m_regions;
    fleet::PolicyPtr m_policy;
    fleet::EndpointDirectory m_directory;
    std::optional<Instant> m_endpointsCurrentAt;
    std::optional<Instant> m_lastTickAt;
    // The list may be that of before a standstill of this host.
    Instant m_listUnsureUntil = Instant::min();
    fleet::VersionHistory m_versions;
    fleet::LeavingEndpoints m_leaving;
    fleet::EvacuationView m_evacuations;
    placement::Placement m_placement;
    placement::ProgramStarts m_programStarts;
    placement::ShareLoans m_shareLoans;
    hostload::HostLoad m_hostLoad;
    suspects::CrashEvidence m_crashes;
    suspects::CrashEvidence m_bodyCrashes;
    suspects::RequestFamilies m_families;
    resumption::OriginTable m_origins;
    std::optional<Instant> m_stopsAt;
    resumption::OutputTable m_outputs;
    turns::TurnTable m_turns;
    turns::BudgetLedger m_budgets;
    std::unordered_map<TeamName, limit::SharedRate> m_rates;
    // What the peers have not been told yet.
    std::unordered_map<TeamName, TeamUse> m_uses;
    std::uint32_t m_reachable = 1;
    std::uint32_t m_members = 1;
};

} // namespace basilhall::gateway
