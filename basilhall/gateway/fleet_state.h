// What one gateway believes: configuration, endpoints, limits, kept turns and budgets.
//
//     FleetState state(self, domain);
//     state.applyPolicy(policy, now);
//     state.setEndpoint(endpoint, now);
//     Result<void> admitted = state.admit(team, now);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/fleet/endpoint_directory.h"
#include "basilhall/fleet/policy.h"
#include "basilhall/limit/shared_rate.h"
#include "basilhall/placement/placement.h"
#include "basilhall/turns/budget_ledger.h"
#include "basilhall/turns/turn_table.h"

#include <unordered_map>
#include <utility>
#include <vector>

namespace basilhall::gateway
{

// Registrations that lapsed while the store was away come back within 2 s of its return (letter 2);
// the rest covers the way of the news.
inline constexpr Duration kRegistrationGrace = std::chrono::milliseconds(2200);

// Not thread-safe.
class FleetState
{
public:
    FleetState(Incarnation self, FailureDomain domain);

    const Incarnation &self() const { return m_self; }

    // Takes a newer version; false if it is not newer than the one in force.
    bool applyPolicy(const fleet::PolicyPtr &policy, Instant now);
    // The version in force; nullptr before the first.
    const fleet::PolicyPtr &policy() const { return m_policy; }

    void replaceEndpoints(const std::vector<fleet::Endpoint> &listed, bool afterOutage,
                          Instant now);
    // The store is in trouble: registrations may lapse though their endpoints live.
    void noteStoreTrouble(Instant now) { m_directory.noteTrouble(now); }
    void setEndpoint(const fleet::Endpoint &endpoint);
    void removeEndpoint(const EndpointName &name, Instant now);
    // Drops registrations that have not come back. Returns how many.
    std::size_t expireEndpoints(Instant now);
    std::size_t endpointCount() const { return m_directory.endpoints().size(); }
    bool hasEndpoint(const EndpointName &name) const;

    // Takes one request of the team's limit; RateLimited with the time to come back otherwise. A
    // request that begins a program is refused earlier, so that programs under way can end.
    Result<void> admit(const TeamName &team, bool beginsProgram, Instant now);
    // A request that was admitted has not run.
    void giveBack(const TeamName &team, Instant now);
    void onPeerAdmitted(const TeamName &team, std::uint64_t requests, Instant now);
    // Of `all` gateways this one and those it hears, `heard` in all, tell each other what they
    // admit; together they have that part of the limits.
    void setLimitShare(std::uint32_t heard, std::uint32_t all, Instant now);
    // Requests admitted by team since the last call.
    std::vector<std::pair<TeamName, std::uint64_t>> takeAdmitted();

    placement::Placement &placement() { return m_placement; }
    turns::TurnTable &turns() { return m_turns; }
    turns::BudgetLedger &budgets() { return m_budgets; }

private:
    void placeAll();
    void place(const fleet::Endpoint &endpoint);

    Incarnation m_self;
    fleet::PolicyPtr m_policy;
    fleet::EndpointDirectory m_directory;
    placement::Placement m_placement;
    turns::TurnTable m_turns;
    turns::BudgetLedger m_budgets;
    std::unordered_map<TeamName, limit::SharedRate> m_rates;
    std::unordered_map<TeamName, std::uint64_t> m_admitted;
    std::uint32_t m_heard = 1;
    std::uint32_t m_members = 1;
};

} // namespace basilhall::gateway
