#include "basilhall/placement/placement.h"

#include <algorithm>
#include <utility>

namespace basilhall::placement
{

namespace
{

// Prompt tokens that an engine prefills per millisecond; 147 in the sheets of all deployments.
constexpr double kPrefillTokensPerMs = 147.0;
// Slowdown of a turn by each other request in the batch, in ms: 0.038 ms per step (from the site
// files) times the 250 steps of a mean answer.
constexpr double kMsPerRunningRequest = 9.5;
// Mean time of a turn in a full batch, in ms. A new request waits this time, divided by the
// number of slots, for each request that has to finish before it gets a slot.
constexpr double kMeanTurnMs = 500.0;
// Mean time of a call of a plain service, in ms, from the deployments' sheets.
constexpr double kMeanServiceCallMs = 40.0;
// Network round trip to another failure domain, in ms, from the deployments' sheets.
constexpr double kCrossDomainRoundTripMs = 3.0;
// Cost, in ms, of an engine whose cache memory would be filled beyond kPreemptionThreshold.
constexpr double kMemoryFullPenaltyMs = 400.0;
// Fraction of an engine's cache memory above which it preempts requests.
constexpr double kPreemptionThreshold = 0.92;

// Returns the number of requests that have to finish before a new request gets a slot.
std::uint32_t requestsAhead(std::uint32_t requests, std::uint32_t slots)
{
    return requests >= slots ? requests - slots + 1 : 0;
}

} // namespace

Load Placement::State::totalLoad() const
{
    Load sum = localLoad;
    for (const auto &[peer, load] : peerLoads) {
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

bool Placement::acceptsWork(const State &state, Instant now)
{
    return !state.endpoint.isLeaving && now >= state.suspendedUntil;
}

double Placement::cost(const State &state, const Work &work) const
{
    const Load load = state.totalLoad();
    const double networkMs =
        state.endpoint.failureDomain == m_domain ? 0.0 : kCrossDomainRoundTripMs;
    if (!state.engine) {
        const std::uint32_t slots = std::max(state.endpoint.slots, 1U);
        return networkMs + kMeanServiceCallMs * requestsAhead(load.requests, slots) / slots
            + static_cast<double>(load.requests) / slots;
    }
    const std::uint32_t slots = std::max(state.engine->batchSlots, 1U);
    std::uint64_t promptTokens = 0;
    for (const PromptPart &part : work.prompt) {
        promptTokens += part.tokens;
    }
    const std::uint64_t cached = state.cache.cachedTokens(work.prompt);
    double ms = networkMs + static_cast<double>(promptTokens - cached) / kPrefillTokensPerMs;
    ms += kMsPerRunningRequest * std::min(load.requests, slots);
    ms += kMeanTurnMs * requestsAhead(load.requests, slots) / slots;
    const double preemptionTokens =
        kPreemptionThreshold * static_cast<double>(state.engine->cacheTokens);
    if (static_cast<double>(load.tokens + work.tokens) > preemptionTokens) {
        ms += kMemoryFullPenaltyMs;
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
    // Starts at a random endpoint, so that endpoints of equal cost share the load.
    for (std::size_t i = 0; i < names.size(); ++i) {
        const EndpointName &name = names[(i + randomBits) % names.size()];
        const State &state = m_states.at(name);
        if (!acceptsWork(state, now) || excluded.contains(name)) {
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
        if (acceptsWork(state, now)) {
            sum.requests += state.totalLoad().requests;
            sum.slots += state.engine ? state.engine->batchSlots : state.endpoint.slots;
        }
    }
    return sum;
}

void Placement::markLoadChanged(State &state)
{
    if (!std::exchange(state.hasLoadChange, true)) {
        m_changedLoads.push_back(state.endpoint.name);
    }
}

void Placement::onSent(const EndpointName &name, const Work &work)
{
    const auto found = m_states.find(name);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    ++state.localLoad.requests;
    state.localLoad.tokens += work.tokens;
    markLoadChanged(state);
    if (!work.prompt.empty()) {
        state.cache.add(work.prompt);
        m_promptUses.push_back({name, work.prompt});
    }
}

void Placement::onFinished(const EndpointName &name, const Work &work)
{
    const auto found = m_states.find(name);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    state.localLoad.requests -= std::min(state.localLoad.requests, 1U);
    state.localLoad.tokens -= std::min(state.localLoad.tokens, work.tokens);
    markLoadChanged(state);
}

void Placement::onPeerLoad(const Incarnation &peer, const EndpointName &name, Load load)
{
    const auto found = m_states.find(name);
    if (found != m_states.end()) {
        found->second.peerLoads[peer] = load;
    }
}

void Placement::onPeerUse(const PromptUse &use)
{
    const auto found = m_states.find(use.endpoint);
    if (found != m_states.end()) {
        found->second.cache.add(use.prompt);
    }
}

void Placement::onPeerLost(const Incarnation &peer)
{
    for (auto &[name, state] : m_states) {
        state.peerLoads.erase(peer);
    }
}

std::vector<std::pair<EndpointName, Load>> Placement::takeLoadChanges()
{
    std::vector<std::pair<EndpointName, Load>> changes;
    for (const EndpointName &name : std::exchange(m_changedLoads, {})) {
        const auto found = m_states.find(name);
        if (found != m_states.end()) {
            found->second.hasLoadChange = false;
            changes.emplace_back(name, found->second.localLoad);
        }
    }
    return changes;
}

std::vector<PromptUse> Placement::takeUses()
{
    return std::exchange(m_promptUses, {});
}

} // namespace basilhall::placement
