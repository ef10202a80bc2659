// The host side of the team limits: admits calls from grants, and asks limiters for more grants.
//
//     GrantCache cache(settings);
//     GrantActions actions = cache.admit(ticket, team, now);
//     // Send each of actions.grantRequests to the limiter of its slice.
//     // Apply each of actions.verdicts.
//     actions = cache.onGranted(ask, grant, later);   // or onFailed(ask, error, later)
//     // For each verdict without `refused`: if now < permit.expires, send the call, then
//     cache.onSent(team, permit);
//
// A call of a rarely used team waits for the limiter's answer. For a frequently used team the cache
// prefetches grants for the requests expected within `prefetchHorizon` at the team's current
// arrival rate. Each team has at most one pending request; calls that arrive meanwhile share the
// next one.
#pragma once

#include "basilhall/limit/arrival_rate.h"
#include "basilhall/limit/grant_cache_settings.h"
#include "basilhall/limit/verdict.h"

#include <unordered_map>
#include <vector>

namespace basilhall::limit
{

// Not thread-safe. Memory grows with the teams used within `forgetAfter` and the waiting calls.
class GrantCache
{
public:
    explicit GrantCache(const GrantCacheSettings &settings);

    // Requests admission of a call of `team`. `slices` is the number of slices of the team's limit;
    // it is the same on every host that knows the team's current rate.
    GrantActions admit(Ticket ticket, const TeamName &team, Instant now, std::uint32_t slices = 1);
    // The limiter answered `ask`. Late and repeated answers are ignored.
    GrantActions onGranted(const GrantRequest &ask, const Grant &grant, Instant now);
    // The limiter refused `ask`, or did not answer in time.
    GrantActions onFailed(const GrantRequest &ask, const Error &error, Instant now);
    // The call of `permit` was sent or will never be sent. Until this is called, the limiter counts
    // the grant as outstanding, so that a call delayed after its admission stays within the limit.
    void onSent(const TeamName &team, const Permit &permit);
    // Removes a waiting call.
    void cancel(Ticket ticket, const TeamName &team);
    // Forgets teams that were not used within `forgetAfter`. Call about once per second.
    void forgetIdle(Instant now);

    std::size_t teamCount() const { return m_teams.size(); }

private:
    struct HeldGrant {
        std::uint64_t number = 0;
        std::uint32_t requests = 0;
        // Admitted calls that are not yet sent.
        std::uint32_t unsent = 0;
        Instant expires;
    };

    struct SliceState {
        // Sorted by number.
        std::vector<HeldGrant> held;
        // Number of the pending request, or 0.
        std::uint64_t pending = 0;
        Instant askedAt;
        // A request before this instant would be refused again, with `refusal`.
        Instant refusedUntil = Instant::min();
        std::optional<Error> refusal;
    };

    struct TeamState {
        ArrivalRate arrivals;
        std::vector<SliceState> slices;
        std::vector<Ticket> waiting;
        // Index of the slice to ask first next time. Round robin keeps the slices evenly used.
        std::uint32_t firstSlice = 0;
    };

    TeamState &stateOf(const TeamName &team, Instant now, std::uint32_t slices);
    SliceState *answeredSlice(const GrantRequest &ask);
    void admitWaiting(const TeamName &team, TeamState &state, Instant now, GrantActions &actions);
    void sendAsk(const TeamName &team, TeamState &state, Instant now, GrantActions &actions);
    std::uint32_t requestsToAsk(const TeamState &state, Instant now) const;

    GrantCacheSettings m_settings;
    std::unordered_map<TeamName, TeamState> m_teams;
    // Numbers are unique within the incarnation, so that a late answer never matches another
    // request.
    std::uint64_t m_lastNumber = 0;
};

} // namespace basilhall::limit
