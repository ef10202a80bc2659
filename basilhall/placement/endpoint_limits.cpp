#include "basilhall/placement/endpoint_limits.h"

#include <cmath>
#include <functional>
#include <string>

namespace basilhall::placement
{

namespace
{

// Registrations state the end of the cold time up to one heartbeat of 1.2 s, and its delivery,
// apart. An endpoint whose end moves by less did not turn cold again.
constexpr Duration kColdJitter = std::chrono::seconds(2);

} // namespace

void EndpointLimits::setGateways(const HostName &self, const std::set<HostName> &hosts, Instant now)
{
    if (m_self == self && m_hosts == hosts) {
        return;
    }
    for (const HostName &host : m_hosts) {
        if (!hosts.contains(host)) {
            m_departed.insert_or_assign(host, now);
        }
    }
    std::erase_if(m_departed, [&](const auto &entry) { return hosts.contains(entry.first); });
    m_self = self;
    m_hosts = hosts;
    updateWindows();
    for (const auto &[name, stated] : m_named.all()) {
        updateAllowance(name, now);
    }
}

bool EndpointLimits::onAnswer(const fleet::Endpoint &endpoint, std::optional<double> perSecond,
                              Instant now)
{
    if (!m_named.add(endpoint.name, {endpoint.startedAt, perSecond, now})) {
        return false;
    }
    updateAllowance(endpoint.name, now);
    m_changed.insert(endpoint.name);
    return true;
}

bool EndpointLimits::onPeerAnswer(const EndpointName &name, const NamedLimit &stated, Instant now)
{
    if (!m_named.add(name, stated)) {
        return false;
    }
    updateAllowance(name, now);
    return true;
}

void EndpointLimits::updateAllowance(const EndpointName &name, Instant now)
{
    const auto stated = m_named.all().find(name);
    if (stated == m_named.all().end() || !stated->second.perSecond) {
        m_allowances.erase(name);
        return;
    }
    const RateShare share = rateShare(name, *stated->second.perSecond, m_self, m_hosts);
    const auto [at, isNew] = m_allowances.try_emplace(name, share, now);
    if (!isNew) {
        at->second.setShare(share, now);
    }
}

std::vector<std::pair<EndpointName, NamedLimit>> EndpointLimits::takeChanges()
{
    std::vector<std::pair<EndpointName, NamedLimit>> changes;
    for (const EndpointName &name : std::exchange(m_changed, {})) {
        const auto found = m_named.all().find(name);
        if (found != m_named.all().end()) {
            changes.emplace_back(*found);
        }
    }
    return changes;
}

std::optional<double> EndpointLimits::limitOf(const fleet::Endpoint &endpoint) const
{
    return m_named.find(endpoint);
}

const SendAllowance *EndpointLimits::allowanceOf(const fleet::Endpoint &endpoint) const
{
    if (!m_named.find(endpoint)) {
        return nullptr;
    }
    const auto found = m_allowances.find(endpoint.name);
    return found == m_allowances.end() ? nullptr : &found->second;
}

std::optional<double> EndpointLimits::limitOf(const fleet::Endpoint &endpoint, Instant now) const
{
    const std::optional<double> stated = m_named.find(endpoint);
    const ColdState *cold = isAnyCold(now) ? coldStateOf(endpoint.name) : nullptr;
    if (cold == nullptr || now >= cold->coldUntil) {
        return stated;
    }
    return std::min(stated.value_or(cold->perSecond), cold->perSecond);
}

bool EndpointLimits::admits(const fleet::Endpoint &endpoint, Instant now) const
{
    return wait(endpoint, now) == Duration::zero();
}

std::optional<Duration> EndpointLimits::wait(const fleet::Endpoint &endpoint, Instant now) const
{
    const SendAllowance *allowance = allowanceOf(endpoint);
    const ColdState *cold = coldStateOf(endpoint.name);
    if ((allowance == nullptr && cold == nullptr) || hasBorrowed(endpoint.name, now)) {
        return Duration::zero();
    }
    const std::optional<Duration> stated =
        allowance == nullptr ? Duration::zero() : allowance->wait(now);
    if (cold == nullptr || !stated) {
        return stated;
    }
    const bool isCold = now < cold->coldUntil;
    return isCold || m_limitsWarm ? std::max(*stated, cold->window.wait(isCold, now)) : stated;
}

double EndpointLimits::shareOf(const fleet::Endpoint &endpoint) const
{
    const SendAllowance *allowance = allowanceOf(endpoint);
    return allowance == nullptr ? 0 : allowance->share().perSecond;
}

double EndpointLimits::shareOf(const fleet::Endpoint &endpoint, Instant now) const
{
    const SendAllowance *allowance = allowanceOf(endpoint);
    const ColdState *cold = isAnyCold(now) ? coldStateOf(endpoint.name) : nullptr;
    if (cold == nullptr || now >= cold->coldUntil) {
        return shareOf(endpoint);
    }
    const auto share = static_cast<double>(cold->window.limit().share);
    return allowance == nullptr ? share : std::min(share, allowance->share().perSecond);
}

void EndpointLimits::onSent(const fleet::Endpoint &endpoint, Instant now)
{
    const auto cold = m_cold.find(endpoint.name);
    const bool hasAllowance = allowanceOf(endpoint) != nullptr;
    if (cold == m_cold.end() && !hasAllowance) {
        return;
    }
    const bool isCold = cold != m_cold.end() && now < cold->second.coldUntil;
    if (isCold) {
        ++m_coldSends;
        ++cold->second.coldSends;
    }
    // What was borrowed is used first, because it lapses sooner than the own share.
    const bool isBorrowed = hasBorrowed(endpoint.name, now);
    if (isBorrowed) {
        std::vector<Instant> &ends = m_borrowed.at(endpoint.name);
        std::erase_if(ends, [now](Instant until) { return now >= until; });
        ends.erase(std::min_element(ends.begin(), ends.end()));
    } else if (hasAllowance) {
        m_allowances.at(endpoint.name).onSent(now);
    }
    if (cold != m_cold.end()) {
        cold->second.window.onSent(isCold, isBorrowed, now);
    }
}

bool EndpointLimits::lend(const EndpointName &name, Instant now)
{
    const auto allowance = m_allowances.find(name);
    const auto cold = m_cold.find(name);
    const bool hasAllowance = allowance != m_allowances.end();
    if (hasAllowance && !allowance->second.admits(now)) {
        return false;
    }
    if (cold != m_cold.end() && !cold->second.window.lend(now)) {
        return false;
    }
    return hasAllowance ? allowance->second.lend(now) : cold != m_cold.end();
}

void EndpointLimits::onBorrowed(const EndpointName &name, Instant until)
{
    if (m_allowances.contains(name) || m_cold.contains(name)) {
        m_borrowed[name].push_back(until);
    }
}

bool EndpointLimits::hasBorrowed(const EndpointName &name, Instant now) const
{
    if (m_borrowed.empty()) {
        return false;
    }
    const auto found = m_borrowed.find(name);
    return found != m_borrowed.end()
        && std::any_of(found->second.begin(), found->second.end(),
                       [now](Instant until) { return now < until; });
}

const EndpointLimits::ColdState *EndpointLimits::coldStateOf(const EndpointName &name) const
{
    if (m_cold.empty()) {
        return nullptr;
    }
    const auto found = m_cold.find(name);
    return found == m_cold.end() ? nullptr : &found->second;
}

void EndpointLimits::setColdTolerance(double overshoot, double tolerance)
{
    m_overshoot = overshoot;
    m_tolerance = tolerance;
    updateWindows();
}

void EndpointLimits::updateWindow(const EndpointName &name, ColdState &state) const
{
    std::set<HostName> hosts = m_hosts;
    for (const auto &[host, since] : m_departed) {
        hosts.insert(host);
    }
    hosts.insert(m_self);
    // Without any request, an endpoint would never be used while it is cold.
    const auto planned = static_cast<std::size_t>(std::max(std::floor(state.perSecond), 1.0));
    const ColdLimit limit{planned, state.perSecond * m_overshoot + m_tolerance,
                          wholeShare(name, planned, m_self, hosts), hosts.size()};
    state.window.setLimit(limit, std::hash<std::string>()(m_self.value() + "/" + name.value()));
}

void EndpointLimits::updateWindows()
{
    for (auto &[name, state] : m_cold) {
        updateWindow(name, state);
    }
}

void EndpointLimits::setEndpoint(const fleet::Endpoint &endpoint, Duration coldTime,
                                 double coldPerSecond, Instant now)
{
    if (coldPerSecond <= 0) {
        if (!m_cold.empty()) {
            m_cold.erase(endpoint.name);
        }
        return;
    }
    const auto [at, isNew] = m_cold.try_emplace(endpoint.name);
    ColdState &state = at->second;
    const bool isRestarted = !isNew && state.startedAt != endpoint.startedAt;
    state.coldTime = coldTime;
    state.startedAt = endpoint.startedAt;
    state.removedAt.reset();
    if (isNew || state.perSecond != coldPerSecond) {
        state.perSecond = coldPerSecond;
        updateWindow(endpoint.name, state);
    }
    if (isRestarted) {
        extendCold(endpoint.name, state, ColdCause::Started, now + coldTime, now);
    }
    extendCold(endpoint.name, state, ColdCause::Registered, endpoint.coldUntil, now);
}

void EndpointLimits::extendCold(const EndpointName &name, ColdState &state, ColdCause cause,
                                Instant until, Instant now)
{
    if (until <= now || until <= state.coldUntil) {
        return;
    }
    if (!std::exchange(state.isReported, true)) {
        m_notices.push_back({name, cause, until});
    }
    state.coldUntil = until;
    m_anyColdUntil = std::max(m_anyColdUntil, until);
}

std::vector<ColdEnd> EndpointLimits::takeColdEnds(Instant now)
{
    std::vector<ColdEnd> ends;
    for (auto &[name, state] : m_cold) {
        if (state.isReported && now - state.coldUntil >= kColdJitter) {
            state.isReported = false;
            ends.push_back({name, std::exchange(state.coldSends, 0)});
        }
    }
    return ends;
}

void EndpointLimits::onRemoved(const EndpointName &name, Instant now)
{
    const auto found = m_cold.find(name);
    if (found != m_cold.end()) {
        found->second.removedAt = now;
    }
}

void EndpointLimits::treatAsCold(const EndpointName &name, ColdCause cause, Instant now)
{
    const auto found = m_cold.find(name);
    if (found != m_cold.end()) {
        extendCold(name, found->second, cause, now + found->second.coldTime, now);
    }
}

bool EndpointLimits::isCold(const EndpointName &name, Instant now) const
{
    const ColdState *cold = isAnyCold(now) ? coldStateOf(name) : nullptr;
    return cold != nullptr && now < cold->coldUntil;
}

SendCounts EndpointLimits::takeSends(const EndpointName &name)
{
    const auto found = m_cold.find(name);
    return found == m_cold.end() ? SendCounts() : found->second.window.takeSends();
}

void EndpointLimits::onPeerSends(const EndpointName &name, const SendCounts &counts, Instant now)
{
    const auto found = m_cold.find(name);
    if (found != m_cold.end()) {
        found->second.window.onPeerSends(counts, now);
    }
}

void EndpointLimits::expire(Instant now)
{
    m_named.expire(now);
    std::erase_if(m_allowances,
                  [this](const auto &entry) { return !m_named.all().contains(entry.first); });
    std::erase_if(m_cold, [now](const auto &entry) {
        const std::optional<Instant> &removedAt = entry.second.removedAt;
        return removedAt && now - *removedAt >= NamedLimits::kRetention;
    });
    std::erase_if(m_borrowed, [now](const auto &entry) {
        return std::all_of(entry.second.begin(), entry.second.end(),
                           [now](Instant until) { return now >= until; });
    });
    if (std::erase_if(m_departed,
                      [now](const auto &entry) { return now - entry.second >= kDepartedTime; })
        > 0) {
        updateWindows();
    }
}

} // namespace basilhall::placement
