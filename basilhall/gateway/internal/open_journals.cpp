#include "basilhall/gateway/internal/open_journals.h"

namespace basilhall::gateway
{

namespace
{

// A host that has been away for so long has been replaced. Each open journal costs one read for
// each search of an unknown turn.
constexpr Duration kOpenTime = std::chrono::minutes(10);

} // namespace

void OpenJournals::add(const Incarnation &incarnation, const Journal &journal)
{
    m_journals.try_emplace(incarnation, journal);
}

OpenJournals::Change OpenJournals::onRunning(const HostName &host, const Incarnation &incarnation)
{
    Change change;
    for (auto entry = m_journals.begin(); entry != m_journals.end();) {
        const auto current = entry++;
        if (current->first == incarnation) {
            change.own = current->second;
            m_journals.erase(current);
        } else if (current->second.host == host) {
            change.ended.insert(*current);
            m_journals.erase(current);
        }
    }
    return change;
}

void OpenJournals::expire(Instant now)
{
    std::erase_if(m_journals,
                  [now](const auto &entry) { return now - entry.second.since > kOpenTime; });
}

} // namespace basilhall::gateway
