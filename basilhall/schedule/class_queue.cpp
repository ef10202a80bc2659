#include "basilhall/schedule/class_queue.h"

#include <algorithm>

namespace basilhall::schedule
{

namespace
{

constexpr std::int64_t kVirtualUnitsPerToken = 1024;

} // namespace

void ClassQueue::insert(const TeamName &team, const Rank &rank)
{
    Team &entry = m_teams[team];
    if (entry.calls.isEmpty()) {
        m_idle.erase({entry.virtualStart, team});
        entry.virtualStart = std::max(entry.virtualStart, m_virtualNow);
        m_waiting.emplace(entry.virtualStart, team);
    }
    entry.calls.insert(rank);
}

void ClassQueue::erase(const TeamName &team, const Rank &rank)
{
    const auto found = m_teams.find(team);
    Team &entry = found->second;
    entry.calls.erase(rank);
    if (entry.calls.isEmpty()) {
        m_waiting.erase({entry.virtualStart, team});
        m_idle.emplace(entry.virtualStart, team);
        forgetCaughtUpTeams();
    }
}

const ClassQueue::Rank &ClassQueue::nextRank() const
{
    return m_teams.find(nextTeam())->second.calls.first();
}

void ClassQueue::charge(const TeamName &team, std::int64_t tokens, std::uint32_t weight)
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end()) {
        return;
    }
    Team &entry = found->second;
    std::set<Position> &positions = entry.calls.isEmpty() ? m_idle : m_waiting;
    positions.erase({entry.virtualStart, team});
    if (tokens > 0) {
        m_virtualNow = std::max(m_virtualNow, entry.virtualStart);
    }
    entry.virtualStart += tokens * kVirtualUnitsPerToken / std::max<std::int64_t>(weight, 1);
    positions.emplace(entry.virtualStart, team);
    forgetCaughtUpTeams();
}

// If no call is waiting, no team is behind another one, so virtual time advances past all service.
void ClassQueue::forgetCaughtUpTeams()
{
    if (m_waiting.empty() && !m_idle.empty()) {
        m_virtualNow = std::max(m_virtualNow, m_idle.rbegin()->first);
    }
    while (!m_idle.empty() && m_idle.begin()->first <= m_virtualNow) {
        m_teams.erase(m_idle.begin()->second);
        m_idle.erase(m_idle.begin());
    }
}

} // namespace basilhall::schedule
