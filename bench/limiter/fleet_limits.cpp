#include "bench/limiter/fleet_limits.h"

#include <algorithm>

namespace basilhall::bench
{

namespace
{

// A question without an answer is given up after this long.
constexpr Duration kAskTimeout = std::chrono::milliseconds(100);

std::size_t mixed(std::size_t value)
{
    value = (value ^ (value >> 31U)) * 0x9e3779b97f4a7c15ULL;
    return value ^ (value >> 29U);
}

} // namespace

FleetLimits::FleetLimits(Timeline &timeline, std::uint32_t hosts, Duration oneWay,
                         std::uint32_t maxSlices, const limit::LimitTimes &times)
    : m_timeline(timeline)
    , m_oneWay(oneWay)
    , m_maxSlices(maxSlices)
    , m_times(times)
    , m_caches(hosts, limit::GrantCache(limit::GrantCacheSettings{}))
    , m_limiters(hosts, limit::Limiter(times))
    , m_isLost(hosts, false)
{
    // The renewal of leases is not what is measured.
    for (limit::Limiter &limiter : m_limiters) {
        limiter.onLeaseRenewed(timeline.now() + std::chrono::hours(24));
    }
}

// The slices of a team have limiters on hosts of their own.
void FleetLimits::addTeam(const TeamName &team, const limit::Rate &rate)
{
    const Instant now = m_timeline.now();
    const std::uint32_t slices = limit::slicesFor(rate, m_maxSlices);
    Team entry{rate, limit::Bucket(rate, now), double(rate.burst), now, {}, 0, 0};
    const std::size_t hash = mixed(std::hash<TeamName>()(team));
    for (std::uint32_t slice = 0; slice < slices; ++slice) {
        const auto limiter = static_cast<std::uint32_t>((hash + slice) % m_limiters.size());
        const limit::Rate part = limit::sliceOf(rate, slice, slices);
        m_limiters[limiter].adoptFresh({team, slice}, part, now);
        entry.limiterOfSlice.push_back(limiter);
    }
    m_teams.emplace(team, std::move(entry));
}

void FleetLimits::admit(std::uint32_t host, const TeamName &team, Done done)
{
    const limit::Ticket ticket = ++m_lastTicket;
    const auto slices = static_cast<std::uint32_t>(m_teams.at(team).limiterOfSlice.size());
    m_waiting.emplace(ticket, Waiting{std::move(done), isInsideRate(m_teams.at(team))});
    act(host, team, m_caches[host].admit(ticket, team, m_timeline.now(), slices));
}

void FleetLimits::forgetIdle()
{
    for (limit::GrantCache &cache : m_caches) {
        cache.forgetIdle(m_timeline.now());
    }
}

void FleetLimits::loseHost(std::uint32_t host)
{
    m_isLost[host] = true;
    const auto successor = static_cast<std::uint32_t>((host + 1) % m_limiters.size());
    const Instant from = m_timeline.now() + m_times.successorWait();
    for (auto &[name, team] : m_teams) {
        for (std::uint32_t slice = 0; slice < team.limiterOfSlice.size(); ++slice) {
            if (team.limiterOfSlice[slice] == host) {
                const auto slices = static_cast<std::uint32_t>(team.limiterOfSlice.size());
                const limit::Rate part = limit::sliceOf(team.rate, slice, slices);
                m_limiters[successor].adoptAfter({name, slice}, part, from);
                team.limiterOfSlice[slice] = successor;
            }
        }
    }
}

std::uint64_t FleetLimits::shortfall() const
{
    std::uint64_t sum = 0;
    for (const auto &[name, team] : m_teams) {
        sum += team.centrallyAdmitted - std::min(team.admitted, team.centrallyAdmitted);
    }
    return sum;
}

std::size_t FleetLimits::cachedTeams() const
{
    std::size_t sum = 0;
    for (const limit::GrantCache &cache : m_caches) {
        sum += cache.teamCount();
    }
    return sum;
}

void FleetLimits::act(std::uint32_t host, const TeamName &team, const limit::GrantActions &actions)
{
    for (const limit::Verdict &verdict : actions.verdicts) {
        if (!verdict.refused) {
            m_caches[host].onSent(team, verdict.permit);
        }
        conclude(team, verdict);
    }
    for (const limit::GrantRequest &question : actions.grantRequests) {
        ask(host, question);
    }
}

void FleetLimits::conclude(const TeamName &team, const limit::Verdict &verdict)
{
    Team &entry = m_teams.at(team);
    const auto found = m_waiting.find(verdict.ticket);
    const Waiting waiting = std::move(found->second);
    m_waiting.erase(found);
    if (verdict.refused) {
        ++m_refused;
        m_wrongful += waiting.isInsideRate ? 1 : 0;
    } else {
        ++m_admitted;
        ++entry.admitted;
        checkWindows(entry);
    }
    waiting.done(verdict.refused);
}

void FleetLimits::ask(std::uint32_t host, const limit::GrantRequest &question)
{
    const std::uint32_t limiter = m_teams.at(question.team).limiterOfSlice[question.slice];
    const bool isLocal = limiter == host;
    m_messages += isLocal ? 0 : 2;
    const Duration delay = isLocal ? Duration::zero() : m_oneWay;
    m_timeline.after(delay, [=, this] {
        if (m_isLost[limiter]) {
            return;
        }
        const Incarnation name(std::to_string(host));
        const Result<limit::Grant> answer =
            m_limiters[limiter].acquire(name, question, m_timeline.now());
        m_timeline.after(delay, [=, this] {
            const Instant now = m_timeline.now();
            limit::GrantCache &cache = m_caches[host];
            act(host, question.team,
                answer ? cache.onGranted(question, answer.value(), now)
                       : cache.onFailed(question, answer.error(), now));
        });
    });
    m_timeline.after(kAskTimeout, [=, this] {
        const Error error = Error(ErrorKind::Unavailable, "the limiter does not answer");
        act(host, question.team,
            m_caches[host].onFailed(question, error.withRetryAfter(kAskTimeout), m_timeline.now()));
    });
}

// One central bucket sees every call and admits what fits.
bool FleetLimits::isInsideRate(Team &team)
{
    const Instant now = m_timeline.now();
    if (!team.central.take(1, now)) {
        return false;
    }
    team.central.settle(1, now);
    ++team.centrallyAdmitted;
    return true;
}

void FleetLimits::checkWindows(Team &team)
{
    const Instant now = m_timeline.now();
    const double seconds = std::chrono::duration<double>(now - team.levelAt).count();
    const double refill = seconds * static_cast<double>(team.rate.milliPerSecond) / 1000;
    team.level = std::min(team.level + refill, double(team.rate.burst)) - 1;
    team.levelAt = now;
    m_worstExcess = std::max(m_worstExcess, -team.level);
}

} // namespace basilhall::bench
