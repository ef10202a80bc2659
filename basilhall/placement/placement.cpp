#include "basilhall/placement/placement.h"

#include <algorithm>
#include <utility>

namespace basilhall::placement
{

namespace
{

// Prompt tokens that an engine reads in a millisecond; the deployments' sheets give 147 for all.
constexpr double kPrefillTokensPerMs = 147.0;
// Slowdown of a turn by each other request in the batch, in ms: 0.038 ms a step (site files) over
// the 250 steps of a mean answer.
constexpr double kMsPerRunningRequest = 9.5;
// Mean time of a turn in a full batch, in ms, of which a waiting request waits its part.
constexpr double kTurnMs = 500.0;
// Mean time of a call of a plain service, in ms, after the sheets.
constexpr double kServiceCallMs = 40.0;
// Way to another failure domain and back, in ms, after the sheets.
constexpr double kOtherDomainMs = 3.0;
// Wait, in ms, that stands for memory which running requests have filled.
constexpr double kMemoryFullMs = 400.0;
// Part of an engine's memory beyond which it preempts.
constexpr double kMemoryBound = 0.92;

std::uint32_t waitersAhead(std::uint32_t requests, std::uint32_t slots)
{
    return requests >= slots ? requests - slots + 1 : 0;
}

} // namespace

Load Placement::State::total() const
{
    Load sum = own;
    for (const auto &[peer, load] : peers) {
        sum.requests += load.requests;
        sum.tokens += load.tokens;
    }
    return sum;
}

Placement::Placement(FailureDomain domain)
    : m_domain(std::move(domain))
{
}

void Placement::setEndpoint(const fleet::Endpoint &endpoint,
                            const std::optional<fleet::EngineTraits> &engine)
{
    const auto [at, isNew] = m_states.try_emplace(endpoint.name);
    State &state = at->second;
    const bool isRestarted = !isNew && state.endpoint.startedAt != endpoint.startedAt;
    const bool hasMoved = !isNew && state.endpoint.service != endpoint.service;
    if (hasMoved) {
        std::erase(m_byService[state.endpoint.service], endpoint.name);
    }
    if (isNew || hasMoved) {
        m_byService[endpoint.service].push_back(endpoint.name);
    }
    if (isNew || isRestarted || state.engine != engine) {
        state.cache = PrefixCache(engine ? engine->cacheTokens : 0);
        state.suspendedUntil = Instant::min();
    }
    state.endpoint = endpoint;
    state.engine = engine;
}

void Placement::removeEndpoint(const EndpointName &name)
{
    const auto found = m_states.find(name);
    if (found != m_states.end()) {
        std::erase(m_byService[found->second.endpoint.service], name);
        m_states.erase(found);
    }
}

void Placement::suspend(const EndpointName &name, Instant until)
{
    const auto found = m_states.find(name);
    if (found != m_states.end()) {
        found->second.suspendedUntil = std::max(found->second.suspendedUntil, until);
    }
}

bool Placement::takesWork(const State &state, Instant now)
{
    return !state.endpoint.isLeaving && now >= state.suspendedUntil;
}

double Placement::cost(const State &state, const Work &work) const
{
    const Load load = state.total();
    const double way = state.endpoint.failureDomain == m_domain ? 0.0 : kOtherDomainMs;
    if (!state.engine) {
        const std::uint32_t slots = std::max(state.endpoint.slots, 1U);
        return way + kServiceCallMs * waitersAhead(load.requests, slots) / slots
            + static_cast<double>(load.requests) / slots;
    }
    const std::uint32_t slots = std::max(state.engine->batchSlots, 1U);
    std::uint64_t promptTokens = 0;
    for (const PromptPart &part : work.prompt) {
        promptTokens += part.tokens;
    }
    const std::uint64_t cached = state.cache.cachedTokens(work.prompt);
    double ms = way + static_cast<double>(promptTokens - cached) / kPrefillTokensPerMs;
    ms += kMsPerRunningRequest * std::min(load.requests, slots);
    ms += kTurnMs * waitersAhead(load.requests, slots) / slots;
    const double bound = kMemoryBound * static_cast<double>(state.engine->cacheTokens);
    if (static_cast<double>(load.tokens + work.tokens) > bound) {
        ms += kMemoryFullMs;
    }
    return ms;
}

const fleet::Endpoint *Placement::choose(const Work &work, const std::set<EndpointName> &excluded,
                                         std::uint64_t randomBits, Instant now) const
{
    const auto found = m_byService.find(work.service);
    if (found == m_byService.end() || found->second.empty()) {
        return nullptr;
    }
    const std::vector<EndpointName> &names = found->second;
    const State *best = nullptr;
    double bestCost = 0;
    // Equal costs go round from a random place on.
    for (std::size_t i = 0; i < names.size(); ++i) {
        const EndpointName &name = names[(i + randomBits) % names.size()];
        const State &state = m_states.at(name);
        if (!takesWork(state, now) || excluded.contains(name)) {
            continue;
        }
        const double ms = cost(state, work);
        if (best == nullptr || ms < bestCost) {
            best = &state;
            bestCost = ms;
        }
    }
    return best == nullptr ? nullptr : &best->endpoint;
}

Placement::Occupancy Placement::occupancy(const std::string &service, Instant now) const
{
    Occupancy sum;
    const auto found = m_byService.find(service);
    if (found == m_byService.end()) {
        return sum;
    }
    for (const EndpointName &name : found->second) {
        const State &state = m_states.at(name);
        if (takesWork(state, now)) {
            sum.requests += state.total().requests;
            sum.slots += state.engine ? state.engine->batchSlots : state.endpoint.slots;
        }
    }
    return sum;
}

void Placement::noteLoad(State &state)
{
    if (!std::exchange(state.hasNews, true)) {
        m_loadNews.push_back(state.endpoint.name);
    }
}

void Placement::onSent(const EndpointName &name, const Work &work)
{
    const auto found = m_states.find(name);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    ++state.own.requests;
    state.own.tokens += work.tokens;
    noteLoad(state);
    if (!work.prompt.empty()) {
        state.cache.add(work.prompt);
        m_uses.push_back({name, work.prompt});
    }
}

void Placement::onFinished(const EndpointName &name, const Work &work)
{
    const auto found = m_states.find(name);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    state.own.requests -= std::min(state.own.requests, 1U);
    state.own.tokens -= std::min(state.own.tokens, work.tokens);
    noteLoad(state);
}

void Placement::onPeerLoad(const Incarnation &peer, const EndpointName &name, Load load)
{
    const auto found = m_states.find(name);
    if (found != m_states.end()) {
        found->second.peers[peer] = load;
    }
}

void Placement::onPeerUse(const PromptUse &use)
{
    const auto found = m_states.find(use.endpoint);
    if (found != m_states.end()) {
        found->second.cache.add(use.prompt);
    }
}

void Placement::onPeerGone(const Incarnation &peer)
{
    for (auto &[name, state] : m_states) {
        state.peers.erase(peer);
    }
}

std::vector<std::pair<EndpointName, Load>> Placement::takeLoadChanges()
{
    std::vector<std::pair<EndpointName, Load>> changes;
    for (const EndpointName &name : std::exchange(m_loadNews, {})) {
        const auto found = m_states.find(name);
        if (found != m_states.end()) {
            found->second.hasNews = false;
            changes.emplace_back(name, found->second.own);
        }
    }
    return changes;
}

std::vector<PromptUse> Placement::takeUses()
{
    return std::exchange(m_uses, {});
}

} // namespace basilhall::placement
