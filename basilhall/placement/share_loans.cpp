#include "basilhall/placement/share_loans.h"

#include "basilhall/placement/rate_share.h"

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace basilhall::placement
{

namespace
{

// Time over which a gateway's own use shows what it needs.
constexpr Duration kUseWindow = std::chrono::seconds(1);
// Questions about one endpoint within kUseWindow. Peers that hold a few requests a second lend one
// at a time, so a limit of 23 a second needs almost as many questions.
constexpr std::size_t kMaxQuestions = 32;
// Questions about one endpoint at the same time.
constexpr std::size_t kMaxInProgress = 4;
// A peer that lent all that it had is asked again when its share has grown by one request, and half
// of that time after it refuses, but not within kMinRefusalPause. The pause doubles with every
// further refusal, so that a peer that needs its share is asked once in kMaxRefusalPause.
constexpr Duration kMinRefusalPause = std::chrono::milliseconds(100);
constexpr Duration kMaxRefusalPause = std::chrono::seconds(2);
// A peer that did not reply may be lost, or be of a version that does not lend. It gets a single
// question after this time.
constexpr Duration kSilencePause = std::chrono::seconds(2);
// State of endpoints that have not been used for this time is dropped.
constexpr Duration kExpiryInterval = std::chrono::seconds(10);

// Orders the peers differently for each gateway and endpoint, so that the questions are spread.
std::pair<std::size_t, std::string_view> rank(const EndpointName &endpoint, const HostName &self,
                                              const HostName &peer)
{
    return {std::hash<std::string>()(endpoint.value() + "/" + self.value() + "/" + peer.value()),
            peer.value()};
}

void dropBefore(std::deque<Instant> &times, Instant limit)
{
    while (!times.empty() && times.front() <= limit) {
        times.pop_front();
    }
}

} // namespace

void ShareLoans::setGateways(const HostName &self, const std::set<HostName> &hosts)
{
    if (m_self == self && m_hosts == hosts) {
        return;
    }
    m_self = self;
    m_hosts = hosts;
    ++m_revision;
}

void ShareLoans::updateHolders(const EndpointName &endpoint, State &state, double limit) const
{
    if (state.limit == limit && state.revision == m_revision) {
        return;
    }
    state.limit = limit;
    state.revision = m_revision;
    std::set<HostName> hosts = m_hosts;
    hosts.insert(m_self);
    state.holders = shareHolders(endpoint, limit, hosts);
    std::erase(state.holders, m_self);
    std::sort(state.holders.begin(), state.holders.end(), [&](const auto &a, const auto &b) {
        return rank(endpoint, m_self, a) < rank(endpoint, m_self, b);
    });
    std::erase_if(state.refusals,
                  [&hosts](const auto &entry) { return !hosts.contains(entry.first); });
}

std::vector<HostName> ShareLoans::choosePeers(const State &state, Instant now)
{
    std::vector<HostName> peers;
    for (const HostName &peer : state.holders) {
        const auto refusal = state.refusals.find(peer);
        const auto silent = m_silent.find(peer);
        if (peers.size() < kMaxLenders && !state.asked.contains(peer)
            && (refusal == state.refusals.end() || now >= refusal->second.until)
            && (silent == m_silent.end() || now >= silent->second)) {
            peers.push_back(peer);
            if (silent != m_silent.end()) {
                silent->second = now + kSilencePause;
            }
        }
    }
    return peers;
}

std::optional<ShareLoans::Question> ShareLoans::ask(const EndpointName &endpoint,
                                                    std::optional<double> limit, std::size_t wanted,
                                                    bool isWaiting, Instant now)
{
    expire(now);
    if (!limit || wanted == 0) {
        return std::nullopt;
    }
    State &state = m_states[endpoint];
    const bool isRepeated = state.lackedAt != Instant::min() && now - state.lackedAt <= kLoanTime;
    state.lackedAt = now;
    dropBefore(state.borrowed, now);
    dropBefore(state.questions, now - kUseWindow);
    const std::size_t covered = state.borrowed.size() + state.requestsInProgress;
    if ((!isWaiting && !isRepeated) || covered >= wanted || state.questions.size() >= kMaxQuestions
        || state.questionsInProgress >= kMaxInProgress) {
        return std::nullopt;
    }
    updateHolders(endpoint, state, *limit);
    Question question{
        choosePeers(state, now),
        static_cast<std::uint32_t>(std::min<std::size_t>(wanted - covered, kMaxLoan))};
    if (question.peers.empty()) {
        return std::nullopt;
    }
    state.questions.push_back(now);
    ++state.questionsInProgress;
    state.requestsInProgress += question.requests;
    state.asked.insert(question.peers.begin(), question.peers.end());
    return question;
}

Duration ShareLoans::growthTime(const State &state)
{
    const double perSecond = std::max(state.limit.value_or(0), kMinRequestLimit)
        / static_cast<double>(state.holders.size() + 1);
    const std::chrono::duration<double> growth(1 / perSecond);
    return growth >= kMaxRefusalPause
        ? kMaxRefusalPause
        : std::max(std::chrono::duration_cast<Duration>(growth), kMinRefusalPause);
}

void ShareLoans::onReply(const EndpointName &endpoint, const HostName &peer, std::uint32_t requests,
                         std::uint32_t granted, Instant now)
{
    State &state = m_states[endpoint];
    m_silent.erase(peer);
    Refusal &refusal = state.refusals[peer];
    const Duration growth = growthTime(state);
    if (granted > 0) {
        refusal = {granted < requests ? now + growth : now, Duration::zero()};
    } else {
        refusal.pause = refusal.pause == Duration::zero()
            ? std::max(growth / 2, kMinRefusalPause)
            : std::min(2 * refusal.pause, kMaxRefusalPause);
        refusal.until = now + refusal.pause;
    }
    state.borrowed.insert(state.borrowed.end(), granted, now + kLoanTime);
}

void ShareLoans::onNoReply(const HostName &peer, Instant now)
{
    m_silent[peer] = now + kSilencePause;
}

void ShareLoans::onEnded(const EndpointName &endpoint, const Question &question)
{
    State &state = m_states[endpoint];
    state.questionsInProgress -= std::min<std::size_t>(state.questionsInProgress, 1);
    state.requestsInProgress -= std::min(state.requestsInProgress, question.requests);
    for (const HostName &peer : question.peers) {
        state.asked.erase(peer);
    }
}

bool ShareLoans::isAsking(const EndpointName &endpoint) const
{
    const auto found = m_states.find(endpoint);
    return found != m_states.end() && found->second.questionsInProgress > 0;
}

bool ShareLoans::hasLoan(const EndpointName &endpoint, Instant now) const
{
    const auto found = m_states.find(endpoint);
    return found != m_states.end() && !found->second.borrowed.empty()
        && now < found->second.borrowed.back();
}

void ShareLoans::noteLent(const EndpointName &endpoint, Instant now)
{
    expire(now);
    State &state = m_states[endpoint];
    dropBefore(state.lent, now - kUseWindow);
    state.lent.push_back(now);
}

void ShareLoans::onSent(const EndpointName &endpoint, Instant now)
{
    expire(now);
    State &state = m_states[endpoint];
    dropBefore(state.sent, now - kUseWindow);
    state.sent.push_back(now);
    dropBefore(state.borrowed, now);
    if (!state.borrowed.empty()) {
        state.borrowed.pop_front();
    }
}

bool ShareLoans::mayLend(const EndpointName &endpoint, double perSecond, Instant now) const
{
    const auto found = m_states.find(endpoint);
    if (perSecond <= 0 || found == m_states.end()) {
        return perSecond > 0;
    }
    const State &state = found->second;
    if (state.lackedAt != Instant::min() && now - state.lackedAt < kUseWindow) {
        return false;
    }
    const auto within = [now](const std::deque<Instant> &times) {
        return static_cast<double>(std::count_if(
            times.begin(), times.end(), [now](Instant time) { return time > now - kUseWindow; }));
    };
    const double sent = within(state.sent);
    const double lent = within(state.lent);
    // A gateway without traffic of its own lends everything; its share alone bounds it.
    return sent == 0 ? lent < perSecond : sent + lent + 1 <= perSecond;
}

void ShareLoans::expire(Instant now)
{
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + kExpiryInterval;
    std::erase_if(m_silent, [this](const auto &entry) { return !m_hosts.contains(entry.first); });
    std::erase_if(m_states, [now](const auto &entry) {
        const State &state = entry.second;
        return (state.sent.empty() || state.sent.back() <= now - kUseWindow)
            && (state.lent.empty() || state.lent.back() <= now - kUseWindow)
            && (state.borrowed.empty() || state.borrowed.back() <= now)
            && state.questionsInProgress == 0
            && (state.lackedAt == Instant::min() || now - state.lackedAt > kExpiryInterval);
    });
}

} // namespace basilhall::placement
