#include "basilhall/placement/placement.h"

#include <algorithm>
#include <utility>

namespace basilhall::placement
{

namespace
{

// Mean time of a call of a plain service, in ms, from the deployments' sheets.
constexpr double kMeanServiceCallMs = 40.0;
// Network round trip to another failure domain, in ms, from the deployments' sheets.
constexpr double kCrossDomainRoundTripMs = 3.0;
// Number of endpoints in the own failure domain, enough to even out the load among them, from which
// others are chosen only if they save more than kRemoteCostMs.
constexpr std::size_t kManyLocalEndpoints = 8;
constexpr double kRemoteCostMs = 30.0;
// Cost, in ms, of an engine whose cache memory would be filled beyond kPreemptionThreshold.
constexpr double kMemoryFullPenaltyMs = 400.0;
// Fraction of an engine's cache memory above which it preempts requests.
constexpr double kPreemptionThreshold = 0.92;
constexpr double kMillisPerSecond = 1000.0;
// Time, in ms, that an endpoint has to save before it is worth a loan, which takes a round trip to
// another failure domain and some more.
constexpr double kLoanGainMs = 20.0;
// Part of the prefill time of a prompt that counts for each other request of the batch.
constexpr double kDelayedPart = 0.2;
// Cost, in ms, of an endpoint that could get the request only when it is too late.
constexpr double kTooLateMs = 1e6;
// Cost, in ms, of each request that a crash of the endpoint would break off.
constexpr double kSuspectCompanyMs = 1000.0;
// Part of the slots of an endpoint without a limit that is planned for while others have one.
constexpr double kPlannedOccupancy = 1.0;

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// Returns the number of requests that have to finish before a new request gets a slot.
std::uint32_t requestsAhead(std::uint32_t requests, std::uint32_t slots)
{
    return requests >= slots ? requests - slots + 1 : 0;
}

} // namespace

Load Placement::State::totalLoad() const
{
    return {localLoad.requests + peerSum.requests, localLoad.tokens + peerSum.tokens};
}

void Placement::State::setPeerLoad(const Incarnation &peer, Load load)
{
    const auto at = peerLoads.try_emplace(peer).first;
    peerSum.requests = peerSum.requests - at->second.requests + load.requests;
    peerSum.tokens = peerSum.tokens - at->second.tokens + load.tokens;
    if (load == Load()) {
        peerLoads.erase(at);
    } else {
        at->second = load;
    }
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
        state.continuesUntil = Instant::min();
        state.pace = EndpointPace();
    }
    state.endpoint = endpoint;
    state.engine = engine;
    state.isEvacuated = isEvacuated(endpoint.failureDomain);
}

void Placement::removeEndpoint(const EndpointName &name)
{
    const auto found = m_states.find(name);
    if (found != m_states.end()) {
        std::erase(m_byService[found->second.endpoint.service], name);
        m_states.erase(found);
    }
}

void Placement::endEvacuation(const FailureDomain &domain, Instant now)
{
    for (const auto &[name, state] : m_states) {
        if (state.endpoint.failureDomain == domain) {
            m_limits.treatAsCold(name, ColdCause::EvacuationEnded, now);
        }
    }
}

void Placement::suspend(const EndpointName &name, Instant until)
{
    const auto found = m_states.find(name);
    if (found != m_states.end()) {
        found->second.suspendedUntil = std::max(found->second.suspendedUntil, until);
    }
}

bool Placement::isServing(const EndpointName &name, WallMillis startedAt) const
{
    const auto found = m_states.find(name);
    return found != m_states.end() && !found->second.endpoint.isLeaving
        && found->second.endpoint.startedAt == startedAt;
}

void Placement::letContinue(const EndpointName &name, Instant until)
{
    const auto found = m_states.find(name);
    if (found != m_states.end()) {
        found->second.continuesUntil = until;
    }
}

void Placement::setEvacuated(std::optional<std::set<FailureDomain>> domains)
{
    m_evacuated = std::move(domains);
    for (auto &[name, state] : m_states) {
        state.isEvacuated = isEvacuated(state.endpoint.failureDomain);
    }
}

bool Placement::isEvacuated(const Work &work) const
{
    const auto found = m_byService.find(work.service);
    if (found == m_byService.end()) {
        return false;
    }
    bool isAnyEvacuated = false;
    for (const EndpointName &name : found->second) {
        const State &state = m_states.at(name);
        const bool isForbidden =
            work.domains && !work.domains->contains(state.endpoint.failureDomain);
        if (state.endpoint.isLeaving || isForbidden
            || (work.version && *work.version != state.endpoint.version)) {
            continue;
        }
        if (!state.isEvacuated) {
            return false;
        }
        isAnyEvacuated = true;
    }
    return isAnyEvacuated;
}

bool Placement::acceptsWork(const State &state, Instant now)
{
    return !state.endpoint.isLeaving && !state.isEvacuated && now >= state.suspendedUntil;
}

bool Placement::acceptsRest(const State &state, Instant now)
{
    return state.endpoint.isLeaving && !state.isEvacuated && now < state.continuesUntil
        && now >= state.suspendedUntil;
}

const EngineModel &Placement::modelOf(const State &state) const
{
    static const EngineModel initial;
    const auto found = m_models.find(state.endpoint.service);
    return found == m_models.end() ? initial : found->second;
}

double Placement::remoteCostMs(const std::vector<EndpointName> &names, Instant now) const
{
    const auto local = std::count_if(names.begin(), names.end(), [&](const EndpointName &name) {
        const State &state = m_states.at(name);
        return state.endpoint.failureDomain == m_domain && acceptsWork(state, now);
    });
    return static_cast<std::size_t>(local) >= kManyLocalEndpoints ? kRemoteCostMs
                                                                  : kCrossDomainRoundTripMs;
}

double Placement::cost(const State &state, const Work &work, double remoteMs, Instant now) const
{
    const Load load = state.totalLoad();
    const double networkMs = state.endpoint.failureDomain == m_domain ? 0.0 : remoteMs;
    const double pace = state.pace.factor(now);
    if (!state.engine) {
        const std::uint32_t slots = std::max(state.endpoint.slots, 1U);
        const double waitMs = kMeanServiceCallMs * requestsAhead(load.requests, slots) / slots
            + static_cast<double>(load.requests) / slots;
        // An idle endpoint that fails requests has no wait, but costs the time of a call.
        return networkMs + waitMs * pace + kMeanServiceCallMs * (pace - 1);
    }
    const EngineModel &model = modelOf(state);
    const std::uint32_t slots = std::max(state.engine->batchSlots, 1U);
    std::uint64_t promptTokens = 0;
    for (const PromptPart &part : work.prompt) {
        promptTokens += part.tokens;
    }
    const std::uint64_t cached = state.cache.cachedTokens(work.prompt);
    // While a prompt is prefilled, the other requests of the batch wait.
    const double delayed = 1 + kDelayedPart * std::min(load.requests, slots);
    double ms = model.prefillMs(promptTokens - cached) * delayed
        + model.slowdownMs(std::min(load.requests, slots))
        + model.turnMs() * requestsAhead(load.requests, slots) / slots;
    ms = ms * pace + model.turnMs() * (pace - 1);
    const double preemptionTokens =
        kPreemptionThreshold * static_cast<double>(state.engine->cacheTokens);
    if (static_cast<double>(load.tokens + work.tokens) > preemptionTokens) {
        ms += kMemoryFullPenaltyMs;
    }
    return networkMs + ms;
}

Placement::Choice Placement::choose(const Work &work, const std::set<EndpointName> &excluded,
                                    std::uint64_t randomBits, Instant now,
                                    const Queueing &queueing) const
{
    const Choice choice = chooseAmong(acceptsWork, work, excluded, randomBits, now, queueing);
    // Only the version that began a stream can go on with it.
    return choice.endpoint == nullptr && work.version
        ? chooseAmong(acceptsRest, work, excluded, randomBits, now, queueing)
        : choice;
}

Placement::Choice Placement::chooseAmong(bool (*accepts)(const State &, Instant), const Work &work,
                                         const std::set<EndpointName> &excluded,
                                         std::uint64_t randomBits, Instant now,
                                         const Queueing &queueing) const
{
    const auto found = m_byService.find(work.service);
    if (found == m_byService.end() || found->second.empty()) {
        return {};
    }
    const std::vector<EndpointName> &names = found->second;
    const double remoteMs = remoteCostMs(names, now);
    Choice best;
    double bestCost = 0;
    const fleet::Endpoint *lacking = nullptr;
    double lackingCost = 0;
    // Starts at a random endpoint, so that endpoints of equal cost share the load.
    for (std::size_t i = 0; i < names.size(); ++i) {
        const EndpointName &name = names[(i + randomBits) % names.size()];
        const State &state = m_states.at(name);
        if (!accepts(state, now) || excluded.contains(name)
            || (work.version && *work.version != state.endpoint.version)
            || (work.domains && !work.domains->contains(state.endpoint.failureDomain))) {
            continue;
        }
        double ms = cost(state, work, remoteMs, now)
            + (work.isSuspect ? kSuspectCompanyMs * state.totalLoad().requests : 0.0);
        // A wait only adds to the cost, so most limits need not be looked up.
        if (best.endpoint != nullptr && ms >= bestCost) {
            continue;
        }
        const std::optional<Duration> ownWait = m_limits.wait(state.endpoint, now);
        const bool isLimited = m_limits.limitOf(state.endpoint, now).has_value();
        const Duration limitWait = ownWait.value_or(Duration::max());
        const Duration wait = isLimited ? std::max(limitWait, queueing.ahead) : limitWait;
        if (isLimited && wait > Duration::zero() && (lacking == nullptr || ms < lackingCost)) {
            lacking = &state.endpoint;
            lackingCost = ms;
        }
        if (!ownWait) {
            continue;
        }
        ms += milliseconds(wait) + (wait > queueing.most ? kTooLateMs : 0.0);
        if (best.endpoint == nullptr || ms < bestCost) {
            best = {&state.endpoint, wait, m_limits.isCold(name, now)};
            bestCost = ms;
        }
    }
    if (lacking != nullptr && (best.endpoint == nullptr || lackingCost + kLoanGainMs < bestCost)) {
        best.lacking = lacking;
    }
    return best;
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
            const std::uint64_t slots = usableSlots(state, now);
            const std::uint64_t requests = state.totalLoad().requests;
            sum.requests +=
                m_limits.limitOf(state.endpoint, now) ? std::min(requests, slots) : requests;
            sum.slots += slots;
        }
    }
    return sum;
}

std::uint64_t Placement::usableSlots(const State &state, Instant now) const
{
    const std::uint64_t slots = state.engine ? state.engine->batchSlots : state.endpoint.slots;
    const std::optional<double> limit = m_limits.limitOf(state.endpoint, now);
    if (!limit || !state.engine) {
        return slots;
    }
    const double running = *limit * modelOf(state).turnMs() / kMillisPerSecond;
    return running >= static_cast<double>(slots) ? slots : static_cast<std::uint64_t>(running) + 1;
}

double Placement::limitedRate(const std::string &service, Instant now) const
{
    double rate = 0;
    const auto found = m_byService.find(service);
    if (found != m_byService.end()) {
        for (const EndpointName &name : found->second) {
            const State &state = m_states.at(name);
            rate += acceptsWork(state, now) ? m_limits.shareOf(state.endpoint, now) : 0;
        }
    }
    return rate;
}

double Placement::capacity(const State &state) const
{
    const std::uint32_t slots = state.engine ? state.engine->batchSlots : state.endpoint.slots;
    const double callMs = state.engine ? modelOf(state).turnMs() : kMeanServiceCallMs;
    return kPlannedOccupancy * slots * kMillisPerSecond / callMs;
}

std::map<std::string, double> Placement::carriedRates(Instant now) const
{
    std::map<std::string, double> rates;
    if (m_limits.statements().empty() && !m_limits.isAnyCold(now)) {
        return rates;
    }
    for (const auto &[service, names] : m_byService) {
        double rate = 0;
        bool isAnyLimited = false;
        for (const EndpointName &name : names) {
            const State &state = m_states.at(name);
            if (!acceptsWork(state, now)) {
                continue;
            }
            if (m_limits.limitOf(state.endpoint, now)) {
                isAnyLimited = true;
                rate += m_limits.shareOf(state.endpoint, now);
            } else {
                rate += capacity(state) / static_cast<double>(m_limits.gatewayCount());
            }
        }
        if (isAnyLimited) {
            rates.emplace(service, rate);
        }
    }
    return rates;
}

double Placement::stretch(const std::string &service) const
{
    const auto found = m_models.find(service);
    return found == m_models.end() ? 1 : found->second.stretch();
}

void Placement::markLoadChanged(State &state)
{
    if (!std::exchange(state.hasLoadChange, true)) {
        m_changedLoads.push_back(state.endpoint.name);
    }
}

SendConditions Placement::onSent(const EndpointName &name, const Work &work, Instant now)
{
    const auto found = m_states.find(name);
    if (found == m_states.end()) {
        return {};
    }
    State &state = found->second;
    m_limits.onSent(state.endpoint, now);
    SendConditions conditions{0, state.totalLoad().requests};
    for (const PromptPart &part : work.prompt) {
        conditions.uncachedTokens += part.tokens;
    }
    conditions.uncachedTokens -= state.cache.cachedTokens(work.prompt);
    ++state.localLoad.requests;
    state.localLoad.tokens += work.tokens;
    markLoadChanged(state);
    if (!work.prompt.empty()) {
        state.cache.add(work.prompt);
        m_promptUses.push_back({name, work.prompt});
    }
    return conditions;
}

void Placement::addPace(State &state, double ratio, Instant now)
{
    const PaceSample sample{1, ratio};
    state.pace.add(sample, now);
    ++state.pendingPace.answers;
    state.pendingPace.ratioSum += ratio;
    markLoadChanged(state);
}

void Placement::onAnswered(const EndpointName &name, const SendConditions &conditions,
                           const AnswerTiming &timing, Instant now)
{
    const auto found = m_states.find(name);
    if (found == m_states.end()) {
        return;
    }
    State &state = found->second;
    if (!state.engine) {
        // Calls of plain services differ too much in length to compare them.
        addPace(state, 1, now);
        return;
    }
    EngineModel &model = m_models[state.endpoint.service];
    // A busy engine is slow because of its load, which the cost includes already.
    if (2 * conditions.runningRequests < state.engine->batchSlots) {
        addPace(state, std::min(model.timeRatio(conditions, timing), kFailureRatio), now);
    }
    model.onAnswer(conditions, timing);
}

void Placement::onFailed(const EndpointName &name, Instant now, bool isLost)
{
    if (isLost) {
        m_limits.treatAsCold(name, ColdCause::ConnectionLost, now);
    }
    const auto found = m_states.find(name);
    if (found != m_states.end()) {
        addPace(found->second, kFailureRatio, now);
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
        found->second.setPeerLoad(peer, load);
    }
}

void Placement::onPeerPace(const EndpointName &name, const PaceSample &sample, Instant now)
{
    const auto found = m_states.find(name);
    if (found != m_states.end()) {
        found->second.pace.add(sample, now);
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
        state.setPeerLoad(peer, {});
    }
}

std::vector<Placement::EndpointReport> Placement::takeLoadChanges()
{
    std::vector<EndpointReport> changes;
    for (const EndpointName &name : std::exchange(m_changedLoads, {})) {
        const auto found = m_states.find(name);
        if (found != m_states.end()) {
            State &state = found->second;
            state.hasLoadChange = false;
            changes.push_back({name, state.localLoad, std::exchange(state.pendingPace, {}),
                               m_limits.takeSends(name)});
        }
    }
    return changes;
}

std::vector<PromptUse> Placement::takeUses()
{
    return std::exchange(m_promptUses, {});
}

} // namespace basilhall::placement
