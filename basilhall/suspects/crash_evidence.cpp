#include "basilhall/suspects/crash_evidence.h"

#include "basilhall/suspects/suspect_policy.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace basilhall::suspects
{

void CrashEvidence::onBroken(RequestKey key, const EndpointProcess &process, Instant now)
{
    if (addEnd(key, process, now, now)) {
        m_changed.insert(key);
    }
}

bool CrashEvidence::onCompleted(RequestKey key, Instant now)
{
    const bool hadEnds = complete(key, now, now);
    if (hadEnds) {
        m_changed.insert(key);
    }
    return hadEnds;
}

void CrashEvidence::onRun(RequestKey key, Instant now)
{
    const auto found = m_requests.find(key);
    if (found != m_requests.end()) {
        found->second.runAt = now;
        m_changed.insert(key);
    }
}

std::size_t CrashEvidence::onAnswered(const EndpointProcess &process, Instant sentAt)
{
    const std::size_t cleared = clear({process, sentAt});
    if (cleared > 0) {
        m_changedAnswers[process] = sentAt;
    }
    return cleared;
}

void CrashEvidence::onRefused(const EndpointProcess &process, Instant now)
{
    m_gone[process] = now;
}

void CrashEvidence::onRemoved(const EndpointName &name, Instant now)
{
    constexpr WallMillis kFirstStart = std::numeric_limits<WallMillis>::min();
    for (auto at = m_byProcess.lower_bound({name, kFirstStart});
         at != m_byProcess.end() && at->first.name == name; ++at) {
        m_gone.try_emplace(at->first, now);
    }
}

void CrashEvidence::onRegistered(const EndpointName &name, WallMillis startedAt, Instant now)
{
    // A process of unknown start may be the registered one.
    constexpr WallMillis kFirstKnownStart = 1;
    for (auto at = m_byProcess.lower_bound({name, kFirstKnownStart});
         at != m_byProcess.end() && at->first.name == name && at->first.startedAt < startedAt;
         ++at) {
        m_gone.try_emplace(at->first, now);
    }
}

Suspicion CrashEvidence::suspicion(RequestKey key) const
{
    Suspicion suspicion;
    const auto found = m_requests.find(key);
    if (found == m_requests.end()) {
        return suspicion;
    }
    const Request &request = found->second;
    suspicion.lastRun = request.runAt.value_or(Instant::min());
    const std::size_t own = openEnds(key, request);
    for (const auto &[process, at] : request.ends) {
        if (!request.isCause && isExplained(key, process)) {
            continue;
        }
        std::size_t others = 0;
        for (const RequestKey &other : m_byProcess.at(process)) {
            if (other != key && !request.isCause) {
                others = std::max(others, openEnds(other, m_requests.at(other)));
            }
        }
        suspicion.ends += own >= others ? 1 : 0;
        suspicion.strictEnds += own > others ? 1 : 0;
        suspicion.lastEnd = std::max(suspicion.lastEnd, at);
    }
    return suspicion;
}

bool CrashEvidence::isExplained(RequestKey key, const EndpointProcess &process) const
{
    const std::set<RequestKey> &keys = m_byProcess.at(process);
    return std::any_of(keys.begin(), keys.end(), [&](const RequestKey &other) {
        return other != key && m_requests.at(other).isCause;
    });
}

std::size_t CrashEvidence::openEnds(RequestKey key, const Request &request) const
{
    if (request.isCause) {
        return request.ends.size();
    }
    const auto open = std::count_if(request.ends.begin(), request.ends.end(),
                                    [&](const auto &end) { return !isExplained(key, end.first); });
    return static_cast<std::size_t>(open);
}

void CrashEvidence::findCause(RequestKey key)
{
    const Suspicion found = suspicion(key);
    if (found.ends >= kEndsForHold && found.strictEnds + 1 >= kEndsForHold) {
        m_requests.at(key).isCause = true;
    }
}

std::vector<RequestFacts> CrashEvidence::takeChanges()
{
    std::vector<RequestFacts> changes;
    for (const RequestKey &key : std::exchange(m_changed, {})) {
        const auto found = m_requests.find(key);
        if (found != m_requests.end()) {
            changes.push_back(factsOf(key, found->second));
        }
    }
    return changes;
}

std::vector<ProcessAnswer> CrashEvidence::takeAnswers()
{
    std::vector<ProcessAnswer> answers;
    for (const auto &[process, sentAt] : std::exchange(m_changedAnswers, {})) {
        answers.push_back({process, sentAt});
    }
    return answers;
}

std::vector<RequestFacts> CrashEvidence::summary() const
{
    std::vector<RequestFacts> known;
    for (const auto &[key, request] : m_requests) {
        if (!request.ends.empty()) {
            known.push_back(factsOf(key, request));
        }
    }
    std::sort(known.begin(), known.end(), [](const RequestFacts &a, const RequestFacts &b) {
        return std::pair(b.ends.size(), a.key) < std::pair(a.ends.size(), b.key);
    });
    known.resize(std::min(known.size(), kMaxSummary));
    return known;
}

void CrashEvidence::merge(const RequestFacts &facts, Instant now)
{
    for (const EndedRun &end : facts.ends) {
        if (end.isConfirmed) {
            m_gone.try_emplace(end.process, now);
        }
        addEnd(facts.key, end.process, end.at, now);
    }
    if (facts.completedAt) {
        complete(facts.key, *facts.completedAt, now);
    }
    const auto found = m_requests.find(facts.key);
    if (found != m_requests.end() && found->second.ends.size() >= kEndsForHold) {
        found->second.isCause = found->second.isCause || facts.isCause;
    }
    if (facts.runAt && found != m_requests.end()) {
        found->second.runAt = std::max(found->second.runAt.value_or(*facts.runAt), *facts.runAt);
    }
}

void CrashEvidence::merge(const ProcessAnswer &answer)
{
    clear(answer);
}

void CrashEvidence::expire(Instant now)
{
    const auto isOld = [now](const auto &entry) { return now - entry.second >= kAnswerRetention; };
    std::erase_if(m_answered, isOld);
    std::erase_if(m_gone, [&](const auto &entry) {
        return isOld(entry) && !m_byProcess.contains(entry.first);
    });
    std::vector<EndpointProcess> unconfirmed;
    for (const auto &[process, keys] : m_byProcess) {
        if (!m_gone.contains(process)) {
            unconfirmed.push_back(process);
        }
    }
    for (const EndpointProcess &process : unconfirmed) {
        (void)dropEnds(process, now - kConfirmTime);
    }
    for (auto at = m_requests.begin(); at != m_requests.end();) {
        const Duration retention = at->second.ends.empty() ? kAnswerRetention : kRetention;
        if (now - at->second.changedAt < retention) {
            ++at;
            continue;
        }
        for (const auto &[process, brokeAt] : at->second.ends) {
            unlink(at->first, process);
        }
        at = m_requests.erase(at);
    }
}

bool CrashEvidence::addEnd(RequestKey key, const EndpointProcess &process, Instant at, Instant now)
{
    const auto answered = m_answered.find(process);
    if (answered != m_answered.end() && answered->second >= at && !m_gone.contains(process)) {
        return false;
    }
    const auto known = m_requests.find(key);
    if (known != m_requests.end()) {
        const Request &request = known->second;
        const bool isKnown =
            request.ends.contains(process) || (request.completedAt && *request.completedAt >= at);
        if (isKnown || request.ends.size() >= kMaxEnds) {
            return false;
        }
    }
    if (known == m_requests.end() && m_requests.size() >= kMaxRequests) {
        limitSize();
    }
    Request &request = m_requests[key];
    request.ends.emplace(process, at);
    request.changedAt = now;
    m_byProcess[process].insert(key);
    findCause(key);
    return true;
}

bool CrashEvidence::complete(RequestKey key, Instant at, Instant now)
{
    const auto found = m_requests.find(key);
    if (found == m_requests.end()) {
        return false;
    }
    Request &request = found->second;
    request.completedAt = std::max(request.completedAt.value_or(at), at);
    request.changedAt = now;
    const std::size_t before = request.ends.size();
    std::erase_if(request.ends, [&](const auto &end) {
        const bool isBefore = end.second <= *request.completedAt;
        if (isBefore) {
            unlink(key, end.first);
        }
        return isBefore;
    });
    request.isCause = request.isCause && !request.ends.empty();
    return request.ends.size() < before;
}

std::size_t CrashEvidence::clear(const ProcessAnswer &answer)
{
    const EndpointProcess &process = answer.process;
    if (m_gone.contains(process)) {
        return 0;
    }
    const auto last = m_answered.try_emplace(process, answer.sentAt).first;
    last->second = std::max(last->second, answer.sentAt);
    return dropEnds(process, answer.sentAt);
}

std::size_t CrashEvidence::dropEnds(const EndpointProcess &process, Instant last)
{
    const auto found = m_byProcess.find(process);
    if (found == m_byProcess.end()) {
        return 0;
    }
    const std::size_t cleared = std::erase_if(found->second, [&](const RequestKey &key) {
        Request &request = m_requests.at(key);
        const auto end = request.ends.find(process);
        const bool isVoid = end->second <= last;
        if (isVoid) {
            request.ends.erase(end);
            request.isCause = request.isCause && request.ends.size() >= kEndsForHold;
        }
        return isVoid;
    });
    if (found->second.empty()) {
        m_byProcess.erase(found);
    }
    return cleared;
}

void CrashEvidence::unlink(RequestKey key, const EndpointProcess &process)
{
    const auto found = m_byProcess.find(process);
    if (found != m_byProcess.end()) {
        found->second.erase(key);
        if (found->second.empty()) {
            m_byProcess.erase(found);
        }
    }
}

void CrashEvidence::limitSize()
{
    using Rank = std::pair<std::size_t, Instant>;
    const auto rankOf = [](const Request &request) {
        return Rank(request.ends.size(), request.changedAt);
    };
    std::vector<Rank> ranks;
    for (const auto &[key, request] : m_requests) {
        ranks.push_back(rankOf(request));
    }
    // Many at a time, since the search looks at all of them.
    const auto bound = ranks.begin() + static_cast<std::ptrdiff_t>(ranks.size() / 8);
    std::nth_element(ranks.begin(), bound, ranks.end());
    std::erase_if(m_requests, [&](const auto &entry) {
        const bool isLeast = rankOf(entry.second) <= *bound;
        if (isLeast) {
            for (const auto &[process, at] : entry.second.ends) {
                unlink(entry.first, process);
            }
        }
        return isLeast;
    });
}

RequestFacts CrashEvidence::factsOf(RequestKey key, const Request &request) const
{
    RequestFacts facts{key, {}, request.completedAt, request.runAt, request.isCause};
    for (const auto &[process, at] : request.ends) {
        facts.ends.push_back({process, at, m_gone.contains(process)});
    }
    return facts;
}

} // namespace basilhall::suspects
