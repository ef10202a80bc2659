#include "basilhall/gateway/fleet_state.h"

#include <algorithm>
#include <set>

namespace basilhall::gateway
{

namespace
{

// Fraction of a team's burst that is reserved for programs in progress. A program makes about 10
// more requests a second, and the work of a program that is refused halfway is wasted.
constexpr double kReserveForPrograms = 0.4;
// A list that is older may lack a version that already serves.
constexpr Duration kMaxListAge = std::chrono::seconds(1);
// Time in which a host that stood still reads what its peers and the store have sent meanwhile.
constexpr Duration kCatchUpTime = std::chrono::seconds(1);
// An endpoint that begins to leave may get rests of streams for this time after the list was last
// current without that. It serves for 2 s at least after the store has acknowledged that it leaves,
// and a list that is current lacks the changes of 0.6 s at most.
constexpr Duration kContinuationTime = std::chrono::milliseconds(1300);
// Retry time for a team whose limit is 0.
constexpr Duration kZeroRateRetry = std::chrono::seconds(5);

} // namespace

FleetState::FleetState(Incarnation self, FleetTraits traits)
    : m_self(self)
    , m_traits(std::move(traits))
    , m_regions(m_traits.regions)
    , m_directory(kRegistrationGrace)
    , m_evacuations(m_traits.evacuationBound.has_value())
    , m_placement(m_traits.ownDomain)
    , m_turns(m_traits.keptTurnMemory)
    , m_budgets(std::move(self))
{
    m_placement.setColdTolerance(m_traits.coldOvershoot, m_traits.coldTolerance);
    m_placement.limits().setLimitsWarm(m_traits.limitsWarmEndpoints);
    if (!m_evacuations.isKnown()) {
        m_placement.setEvacuated(std::nullopt);
    }
}

FleetState::FleetState(Incarnation self, FailureDomain domain)
    : FleetState(std::move(self), FleetTraits{std::move(domain)})
{
}

bool FleetState::applyPolicy(const fleet::PolicyPtr &policy, Instant now)
{
    if (m_policy && policy->version() <= m_policy->version()) {
        return false;
    }
    m_policy = policy;
    for (const fleet::Team &team : policy->content().teams) {
        const auto found = m_rates.find(team.name);
        if (!team.rate) {
            m_rates.erase(team.name);
        } else if (found != m_rates.end()) {
            found->second.setRate(*team.rate, now);
        } else {
            limit::SharedRate &rate = m_rates.try_emplace(team.name, *team.rate, now).first->second;
            rate.setShare(m_reachable, m_members, now);
        }
    }
    std::erase_if(
        m_rates, [&policy](const auto &entry) { return policy->findTeam(entry.first) == nullptr; });
    placeAll(now);
    return true;
}

void FleetState::place(const fleet::Endpoint &endpoint, Instant now)
{
    const fleet::Service *service = m_policy ? m_policy->findService(endpoint.service) : nullptr;
    fleet::Endpoint placed = endpoint;
    placed.isLeaving = isLeaving(endpoint);
    const bool beginsToLeave =
        placed.isLeaving && m_placement.isServing(endpoint.name, endpoint.startedAt);
    m_placement.setEndpoint(placed, service != nullptr ? service->engine : std::nullopt);
    m_placement.limits().setEndpoint(placed,
                                     service != nullptr ? service->coldTime : Duration::zero(),
                                     service != nullptr ? service->coldPerSecond : 0, now);
    // Otherwise it may have begun to leave long ago.
    if (beginsToLeave && isListCurrent(now)) {
        m_placement.letContinue(endpoint.name, *m_endpointsCurrentAt + kContinuationTime);
    }
}

void FleetState::placeAll(Instant now)
{
    for (const auto &[name, endpoint] : m_directory.endpoints()) {
        place(endpoint, now);
    }
}

void FleetState::replaceEndpoints(const std::vector<fleet::Endpoint> &listed, bool afterOutage,
                                  Instant now)
{
    const std::unordered_map<EndpointName, fleet::Endpoint> before = m_directory.endpoints();
    m_directory.replaceAll(listed, afterOutage, now);
    for (const auto &[name, endpoint] : before) {
        const fleet::Endpoint *still = m_directory.find(name);
        if (still == nullptr || still->version != endpoint.version) {
            m_versions.onReplaced(endpoint, now);
        }
        if (still == nullptr) {
            m_placement.removeEndpoint(name);
            m_placement.limits().onRemoved(name, now);
            m_crashes.onRemoved(name, now);
            m_bodyCrashes.onRemoved(name, now);
        }
    }
    m_versions.begin(now);
    placeAll(now);
}

void FleetState::replaceEndpoints(const EndpointListing &listing, Instant now)
{
    if (listing.graceLeft > Duration::zero() && !isListCurrent(now)) {
        m_directory.extendGracePeriod(now + listing.graceLeft);
    }
    replaceEndpoints(listing.endpoints, false, now);
}

void FleetState::noteReportedOutage(Instant at, Instant now)
{
    if (!isListCurrent(now)) {
        m_directory.noteOutage(at);
    }
}

bool FleetState::isListCurrent(Instant now) const
{
    return m_endpointsCurrentAt && now - *m_endpointsCurrentAt <= kMaxListAge;
}

bool FleetState::setEndpoint(const fleet::Endpoint &endpoint, Instant now)
{
    const fleet::Endpoint *before = m_directory.find(endpoint.name);
    // A renewed registration of an endpoint that is cold differs in the remaining time.
    const bool isRenewal = before != nullptr && *before == endpoint
        && before->coldUntil != Instant::min() && !m_directory.removedFor(endpoint.name, now);
    if (before != nullptr && before->version != endpoint.version) {
        m_versions.onReplaced(*before, now);
    }
    m_directory.set(endpoint);
    place(endpoint, now);
    return !isRenewal;
}

void FleetState::removeEndpoint(const EndpointName &name, Instant now)
{
    if (const fleet::Endpoint *before = m_directory.find(name)) {
        m_versions.onReplaced(*before, now);
    }
    m_directory.remove(name, now);
    if (m_directory.find(name) == nullptr) {
        m_placement.removeEndpoint(name);
        m_placement.limits().onRemoved(name, now);
        m_crashes.onRemoved(name, now);
        m_bodyCrashes.onRemoved(name, now);
    }
}

std::size_t FleetState::expireEndpoints(Instant now)
{
    if (m_directory.nextExpiry() && now >= *m_directory.nextExpiry()) {
        for (const auto &[name, endpoint] : m_directory.endpoints()) {
            m_versions.onReplaced(endpoint, now);
        }
    }
    const std::vector<EndpointName> dropped = m_directory.expire(now);
    for (const EndpointName &name : dropped) {
        m_placement.removeEndpoint(name);
        m_placement.limits().onRemoved(name, now);
        m_crashes.onRemoved(name, now);
        m_bodyCrashes.onRemoved(name, now);
    }
    m_leaving.expire(m_directory.endpoints(), now);
    m_placement.limits().expire(now);
    return dropped.size();
}

EndpointListing FleetState::endpointListing(Instant now) const
{
    const std::optional<Instant> graceEnd = m_directory.nextExpiry();
    return {m_directory.registered(),
            graceEnd && now < *graceEnd ? *graceEnd - now : Duration::zero()};
}

void FleetState::noteEndpointsCurrent(Instant at)
{
    checkStandstill(at);
    if (at >= m_listUnsureUntil) {
        m_endpointsCurrentAt = at;
    }
}

void FleetState::onTick(Instant now)
{
    checkStandstill(now);
    m_lastTickAt = now;
}

void FleetState::checkStandstill(Instant now)
{
    if (m_lastTickAt && now - *m_lastTickAt > kMaxListAge) {
        m_listUnsureUntil = now + kCatchUpTime;
    }
}

std::optional<std::string> FleetState::onlyVersion(const std::string &service, Duration span,
                                                   Instant now) const
{
    if (!isListCurrent(now)) {
        return std::nullopt;
    }
    return m_versions.onlyVersion(service, m_directory.endpoints(), now - span);
}

bool FleetState::hasEndpoint(const EndpointName &name) const
{
    return m_directory.find(name) != nullptr;
}

std::optional<Duration> FleetState::removedFor(const EndpointName &name, Instant now) const
{
    return m_directory.removedFor(name, now);
}

bool FleetState::markLeaving(const fleet::Endpoint &endpoint, Instant now)
{
    const bool isFirst = m_leaving.add(endpoint.name, endpoint.startedAt, now);
    if (const fleet::Endpoint *registered = m_directory.find(endpoint.name)) {
        place(*registered, now);
    }
    return isFirst;
}

bool FleetState::isLeaving(const fleet::Endpoint &endpoint) const
{
    return endpoint.isLeaving || m_leaving.contains(endpoint);
}

std::optional<fleet::EvacuationView::Change>
FleetState::applyEvacuations(const fleet::Evacuations &listed, Instant at, Instant now)
{
    auto change = m_evacuations.apply(listed, at);
    if (change) {
        m_placement.setEvacuated(m_evacuations.current().domains);
        for (const FailureDomain &domain : change->ended) {
            m_placement.endEvacuation(domain, now);
        }
    }
    return change;
}

std::set<FailureDomain> FleetState::endpointDomains() const
{
    std::set<FailureDomain> domains;
    for (const auto &[name, endpoint] : m_directory.endpoints()) {
        domains.insert(endpoint.failureDomain);
    }
    return domains;
}

void FleetState::expireSuspects(Instant now)
{
    for (const auto &[name, endpoint] : m_directory.endpoints()) {
        m_crashes.onRegistered(name, endpoint.startedAt, now);
        m_bodyCrashes.onRegistered(name, endpoint.startedAt, now);
    }
    m_crashes.expire(now);
    m_bodyCrashes.expire(now);
    m_families.expire(now);
}

Result<void> FleetState::admit(const TeamName &team, bool beginsProgram, Instant now)
{
    const auto found = m_rates.find(team);
    if (found == m_rates.end()) {
        return success();
    }
    const double reserve = beginsProgram ? kReserveForPrograms : 0.0;
    if (!found->second.admit(now, reserve)) {
        return Error(ErrorKind::RateLimited,
                     "team \"" + team.value() + "\" has reached its request rate limit")
            .withNotRun()
            .withRetryAfter(found->second.wait(now, reserve).value_or(kZeroRateRetry));
    }
    ++m_uses[team].admitted;
    return success();
}

void FleetState::refund(const TeamName &team, Instant admittedAt, Instant now)
{
    const auto found = m_rates.find(team);
    if (found == m_rates.end() || !found->second.refund(admittedAt, now)) {
        return;
    }
    TeamUse &use = m_uses[team];
    if (use.admitted > 0) {
        --use.admitted;
    } else {
        ++use.refunded;
    }
}

void FleetState::onPeerUse(const TeamUse &use, Instant now)
{
    const auto found = m_rates.find(use.team);
    if (found != m_rates.end()) {
        found->second.onPeerAdmitted(use.admitted, now);
        found->second.onPeerRefunded(use.refunded, now);
    }
}

void FleetState::setLimitShare(std::uint32_t reachable, std::uint32_t members, Instant now)
{
    if (reachable == m_reachable && members == m_members) {
        return;
    }
    m_reachable = reachable;
    m_members = members;
    for (auto &[team, rate] : m_rates) {
        rate.setShare(reachable, members, now);
    }
}

std::vector<TeamUse> FleetState::takeTeamUses()
{
    std::vector<TeamUse> uses;
    for (const auto &[team, use] : std::exchange(m_uses, {})) {
        if (use.admitted > 0 || use.refunded > 0) {
            uses.push_back({team, use.admitted, use.refunded});
        }
    }
    return uses;
}

} // namespace basilhall::gateway
