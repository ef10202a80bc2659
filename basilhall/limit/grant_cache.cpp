#include "basilhall/limit/grant_cache.h"

#include <algorithm>
#include <cmath>

namespace basilhall::limit
{

namespace
{

// Delay before asking again a limiter that is unreachable or not allowed to grant.
constexpr Duration kUnreachableRetry = std::chrono::milliseconds(100);

template<typename Slice>
void dropFinished(Slice &slice, Instant now)
{
    std::erase_if(slice.held, [now](const auto &held) {
        return held.expires <= now || (held.requests == 0 && held.unsent == 0);
    });
}

// Returns the highest number up to which every grant is used and sent, expired or given up.
template<typename Slice>
std::uint64_t settledUpTo(const Slice &slice, std::uint64_t nextNumber)
{
    return slice.held.empty() ? nextNumber - 1 : slice.held.front().number - 1;
}

template<typename Slice>
std::optional<Permit> takeFrom(Slice &slice, std::uint32_t index)
{
    for (auto &held : slice.held) {
        if (held.requests > 0) {
            --held.requests;
            ++held.unsent;
            return Permit{index, held.number, held.expires};
        }
    }
    return std::nullopt;
}

template<typename State>
std::optional<Permit> takePermit(State &state, Instant now)
{
    for (std::uint32_t index = 0; index < state.slices.size(); ++index) {
        dropFinished(state.slices[index], now);
        if (const auto permit = takeFrom(state.slices[index], index)) {
            return permit;
        }
    }
    return std::nullopt;
}

template<typename State>
std::uint64_t heldRequests(const State &state)
{
    std::uint64_t sum = 0;
    for (const auto &slice : state.slices) {
        for (const auto &held : slice.held) {
            sum += held.requests;
        }
    }
    return sum;
}

template<typename State>
bool hasPendingAsk(const State &state)
{
    return std::any_of(state.slices.begin(), state.slices.end(),
                       [](const auto &slice) { return slice.pending != 0; });
}

template<typename State>
bool isIdle(const State &state)
{
    return state.waiting.empty() && !hasPendingAsk(state);
}

// Combines the refusals of all slices. The retry time is the earliest at which a slice may be asked
// again; the kind is RateLimited only if every slice answered RateLimited.
template<typename State>
Error combinedRefusal(const State &state, Instant now)
{
    const auto *earliest = &state.slices.front();
    const auto *chosen = earliest;
    for (const auto &slice : state.slices) {
        earliest = slice.refusedUntil < earliest->refusedUntil ? &slice : earliest;
        chosen = slice.refusal->kind() != ErrorKind::RateLimited ? &slice : chosen;
    }
    return chosen->refusal->withRetryAfter(std::max(earliest->refusedUntil - now, Duration(1)));
}

template<typename State>
void refuseWaiting(State &state, Instant now, GrantActions &actions)
{
    const Error error = combinedRefusal(state, now);
    for (const Ticket ticket : state.waiting) {
        actions.verdicts.push_back(Verdict{ticket, Permit{}, error});
    }
    state.waiting.clear();
}

} // namespace

GrantCache::GrantCache(const GrantCacheSettings &settings)
    : m_settings(settings)
{
}

GrantActions GrantCache::admit(Ticket ticket, const TeamName &team, Instant now,
                               std::uint32_t slices)
{
    GrantActions actions;
    TeamState &state = stateOf(team, now, std::max(slices, 1U));
    if (state.waiting.size() >= m_settings.maxWaiting) {
        const Error error(ErrorKind::Overloaded,
                          "too many calls of team \"" + team.value()
                              + "\" are waiting for its rate limit");
        const Error overloaded = error.withNotRun().withRetryAfter(kUnreachableRetry);
        actions.verdicts.push_back(Verdict{ticket, Permit{}, overloaded});
        return actions;
    }
    state.arrivals.onArrival(now);
    state.waiting.push_back(ticket);
    admitWaiting(team, state, now, actions);
    return actions;
}

GrantActions GrantCache::onGranted(const GrantRequest &ask, const Grant &grant, Instant now)
{
    GrantActions actions;
    SliceState *slice = answeredSlice(ask);
    if (slice == nullptr) {
        return actions;
    }
    slice->pending = 0;
    slice->held.push_back({ask.number, grant.requests, 0, slice->askedAt + grant.validity});
    admitWaiting(ask.team, m_teams.find(ask.team)->second, now, actions);
    return actions;
}

GrantActions GrantCache::onFailed(const GrantRequest &ask, const Error &error, Instant now)
{
    GrantActions actions;
    SliceState *slice = answeredSlice(ask);
    if (slice == nullptr) {
        return actions;
    }
    slice->pending = 0;
    slice->refusal = error.withNotRun();
    slice->refusedUntil = now + error.retryAfter().value_or(kUnreachableRetry);
    admitWaiting(ask.team, m_teams.find(ask.team)->second, now, actions);
    return actions;
}

void GrantCache::onSent(const TeamName &team, const Permit &permit)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || permit.slice >= found->second.slices.size()) {
        return;
    }
    for (HeldGrant &held : found->second.slices[permit.slice].held) {
        if (held.number == permit.number && held.unsent > 0) {
            --held.unsent;
        }
    }
}

void GrantCache::cancel(Ticket ticket, const TeamName &team)
{
    const auto found = m_teams.find(team);
    if (found != m_teams.end()) {
        std::erase(found->second.waiting, ticket);
    }
}

void GrantCache::forgetIdle(Instant now)
{
    std::erase_if(m_teams, [&](const auto &entry) {
        const TeamState &state = entry.second;
        return isIdle(state) && now - state.arrivals.lastArrival() > m_settings.forgetAfter;
    });
}

GrantCache::TeamState &GrantCache::stateOf(const TeamName &team, Instant now, std::uint32_t slices)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end()) {
        TeamState fresh{ArrivalRate(now), std::vector<SliceState>(slices), {}, 0};
        return m_teams.emplace(team, std::move(fresh)).first->second;
    }
    TeamState &state = found->second;
    if (state.slices.size() != slices) {
        // Grants of removed slices are given up.
        state.slices.resize(slices);
        state.firstSlice = 0;
    }
    return state;
}

GrantCache::SliceState *GrantCache::answeredSlice(const GrantRequest &ask)
{
    const auto found = m_teams.find(ask.team);
    if (found == m_teams.end() || ask.slice >= found->second.slices.size()) {
        return nullptr;
    }
    SliceState &slice = found->second.slices[ask.slice];
    return slice.pending == ask.number && ask.number != 0 ? &slice : nullptr;
}

void GrantCache::admitWaiting(const TeamName &team, TeamState &state, Instant now,
                              GrantActions &actions)
{
    std::size_t admitted = 0;
    while (admitted < state.waiting.size()) {
        const std::optional<Permit> permit = takePermit(state, now);
        if (!permit) {
            break;
        }
        actions.verdicts.push_back(Verdict{state.waiting[admitted], *permit, std::nullopt});
        ++admitted;
    }
    state.waiting.erase(state.waiting.begin(),
                        state.waiting.begin() + static_cast<std::ptrdiff_t>(admitted));
    if (!hasPendingAsk(state)) {
        sendAsk(team, state, now, actions);
    }
}

// Asks the next slice that is not known to refuse. If there is none, refuses the waiting calls.
void GrantCache::sendAsk(const TeamName &team, TeamState &state, Instant now, GrantActions &actions)
{
    const std::uint32_t requests = requestsToAsk(state, now);
    if (requests == 0) {
        return;
    }
    const auto count = static_cast<std::uint32_t>(state.slices.size());
    for (std::uint32_t step = 0; step < count; ++step) {
        const std::uint32_t index = (state.firstSlice + step) % count;
        SliceState &slice = state.slices[index];
        if (now < slice.refusedUntil) {
            continue;
        }
        state.firstSlice = (index + 1) % count;
        dropFinished(slice, now);
        slice.pending = ++m_lastNumber;
        slice.askedAt = now;
        const std::uint64_t settled = settledUpTo(slice, slice.pending);
        actions.grantRequests.push_back(
            GrantRequest{team, index, slice.pending, settled, requests});
        return;
    }
    if (!state.waiting.empty()) {
        refuseWaiting(state, now, actions);
    }
}

std::uint32_t GrantCache::requestsToAsk(const TeamState &state, Instant now) const
{
    double requests = static_cast<double>(state.waiting.size());
    const double perSecond = state.arrivals.perSecond(now);
    if (perSecond >= m_settings.prefetchThresholdPerSecond) {
        const double ahead =
            perSecond * std::chrono::duration<double>(m_settings.prefetchHorizon).count();
        const bool isLow = static_cast<double>(heldRequests(state)) < ahead / 2;
        requests += isLow ? std::ceil(ahead) : 0;
    }
    return static_cast<std::uint32_t>(std::min<double>(requests, m_settings.maxRequests));
}

} // namespace basilhall::limit
