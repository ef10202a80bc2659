#include "basilhall/route/pool.h"

#include <algorithm>

namespace basilhall::route
{

namespace
{

// Random draws allowed per endpoint of the sample, because a draw may hit an ineligible endpoint.
constexpr std::uint32_t kDrawsPerSampledEndpoint = 3;
constexpr Duration kNoEndpointRetry = std::chrono::seconds(1);

// Returns the next number of the SplitMix64 generator with this state.
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::uint64_t cachedTokens(std::span<const PrefixMemory::Location> locations,
                           std::uint32_t endpoint, std::uint64_t promptTokens)
{
    for (const PrefixMemory::Location &location : locations) {
        if (location.endpoint == endpoint) {
            return std::min(location.tokens, promptTokens);
        }
    }
    return 0;
}

} // namespace

Pool::Pool(std::string name, const RouteSettings &settings)
    : m_name(std::move(name))
    , m_settings(settings)
    , m_prefixMemory(settings.maxPrograms)
{
}

void Pool::setEndpoint(const EndpointInfo &info)
{
    if (Entry *entry = find(info.name)) {
        entry->state.setInfo(info);
        return;
    }
    m_positionByName.emplace(info.name, m_endpoints.size());
    m_positionByNumber.emplace(++m_lastNumber, m_endpoints.size());
    m_endpoints.push_back(Entry{m_lastNumber, EndpointState(info)});
}

void Pool::removeEndpoint(const EndpointName &endpoint)
{
    const auto found = m_positionByName.find(endpoint);
    if (found == m_positionByName.end()) {
        return;
    }
    const std::size_t position = found->second;
    m_positionByNumber.erase(m_endpoints[position].number);
    m_positionByName.erase(found);
    if (position + 1 < m_endpoints.size()) {
        m_endpoints[position] = std::move(m_endpoints.back());
        m_positionByName[m_endpoints[position].state.info().name] = position;
        m_positionByNumber[m_endpoints[position].number] = position;
    }
    m_endpoints.pop_back();
}

void Pool::setLeaving(const EndpointName &endpoint, bool leaving)
{
    if (Entry *entry = find(endpoint)) {
        entry->state.setLeaving(leaving);
    }
}

void Pool::onReport(const EndpointName &endpoint, const EndpointLoad &load, Instant now)
{
    if (Entry *entry = find(endpoint)) {
        entry->state.onReport(load, now, m_settings);
    }
}

void Pool::onSent(const EndpointName &endpoint, const CallId &callId, std::uint64_t tokens,
                  Instant now)
{
    if (Entry *entry = find(endpoint)) {
        entry->state.onSent(callId, tokens, now);
    }
}

void Pool::onFinished(const EndpointName &endpoint, const CallId &callId)
{
    if (Entry *entry = find(endpoint)) {
        entry->state.onFinished(callId);
    }
}

void Pool::onPrefix(const EndpointName &endpoint, const ProgramId &program, std::uint64_t tokens)
{
    const Entry *entry = find(endpoint);
    if (entry == nullptr) {
        return;
    }
    if (tokens == 0) {
        m_prefixMemory.remove(program, entry->number);
    } else {
        m_prefixMemory.add(program, entry->number, tokens);
    }
}

void Pool::onPrefixUsed(const EndpointName &endpoint, std::uint64_t expected, std::uint64_t found)
{
    Entry *entry = find(endpoint);
    if (entry != nullptr && expected > 0) {
        entry->state.onPrefixUsed(static_cast<double>(found) / static_cast<double>(expected));
    }
}

void Pool::onProgramEnded(const ProgramId &program)
{
    m_prefixMemory.remove(program);
}

Result<Choice> Pool::choose(const Query &query, std::uint64_t randomBits, Instant now) const
{
    Candidate best;
    if (m_endpoints.size() > m_settings.fullScanLimit) {
        considerSample(query, randomBits, now, best);
    }
    if (best.entry == nullptr) {
        considerAll(query, randomBits, now, best);
    }
    if (best.entry == nullptr) {
        const Error error(ErrorKind::Unavailable,
                          "no endpoint of \"" + m_name + "\" accepts new calls");
        return error.withNotRun().withRetryAfter(kNoEndpointRetry);
    }
    return Choice{best.entry->state.info().name, best.cached, best.waitSeconds};
}

std::size_t Pool::usableCount(Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(),
                      [&](const Entry &entry) { return entry.state.isUsable(now, m_settings); }));
}

Pool::Entry *Pool::find(const EndpointName &endpoint)
{
    const auto found = m_positionByName.find(endpoint);
    return found == m_positionByName.end() ? nullptr : &m_endpoints[found->second];
}

const Pool::Entry *Pool::findByNumber(std::uint32_t number) const
{
    const auto found = m_positionByNumber.find(number);
    return found == m_positionByNumber.end() ? nullptr : &m_endpoints[found->second];
}

bool Pool::isEligible(const Entry &entry, const Query &query, Instant now) const
{
    const auto &excluded = query.excluded;
    return entry.state.isUsable(now, m_settings)
        && std::find(excluded.begin(), excluded.end(), entry.state.info().name) == excluded.end();
}

void Pool::consider(const Entry &entry, const Query &query, Instant now, Candidate &best) const
{
    if (!isEligible(entry, query, now)) {
        return;
    }
    const std::uint64_t expectedTokens =
        cachedTokens(m_prefixMemory.locationsOf(query.program), entry.number, query.promptTokens);
    const double cached = static_cast<double>(expectedTokens) * entry.state.prefixHitRatio();
    const double uncachedTokens = static_cast<double>(query.promptTokens) - cached;
    const double expectedWaitSeconds = entry.state.waitSeconds(m_settings);
    double cost = expectedWaitSeconds
        + uncachedTokens * m_settings.uncachedWeight / m_settings.prefillTokensPerSecond;
    if (entry.state.info().domain != query.domain) {
        cost += toSeconds(m_settings.crossDomainCost);
    }
    if (best.entry == nullptr || cost < best.cost) {
        best = Candidate{&entry, cost, expectedWaitSeconds, static_cast<std::uint64_t>(cached)};
    }
}

void Pool::considerSample(const Query &query, std::uint64_t randomBits, Instant now,
                          Candidate &best) const
{
    for (const PrefixMemory::Location &location : m_prefixMemory.locationsOf(query.program)) {
        if (const Entry *entry = findByNumber(location.endpoint)) {
            consider(*entry, query, now, best);
        }
    }
    std::uint32_t compared = 0;
    const std::uint32_t draws = m_settings.sampleSize * kDrawsPerSampledEndpoint;
    for (std::uint32_t draw = 0; draw < draws && compared < m_settings.sampleSize; ++draw) {
        const Entry &entry = m_endpoints[nextRandom(randomBits) % m_endpoints.size()];
        consider(entry, query, now, best);
        compared += isEligible(entry, query, now) ? 1 : 0;
    }
}

// Starts at a random endpoint, so that endpoints of equal cost share the load.
void Pool::considerAll(const Query &query, std::uint64_t randomBits, Instant now,
                       Candidate &best) const
{
    if (m_endpoints.empty()) {
        return;
    }
    const std::size_t start = nextRandom(randomBits) % m_endpoints.size();
    for (std::size_t step = 0; step < m_endpoints.size(); ++step) {
        consider(m_endpoints[(start + step) % m_endpoints.size()], query, now, best);
    }
}

} // namespace basilhall::route
