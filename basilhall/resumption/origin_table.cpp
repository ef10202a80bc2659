#include "basilhall/resumption/origin_table.h"

#include <algorithm>

namespace basilhall::resumption
{

void OriginTable::add(const StreamOrigin &origin)
{
    const auto [at, isNew] = m_entries.try_emplace(origin.attempt, Entry{origin});
    Entry &entry = at->second;
    if (isNew) {
        m_byEnd.emplace(origin.keptUntil, origin.attempt);
        if (m_entries.size() > kMaxStreams) {
            m_entries.erase(m_byEnd.begin()->second);
            m_byEnd.erase(m_byEnd.begin());
        }
        return;
    }
    entry.isDisputed = entry.isDisputed || origin.team != entry.origin.team
        || origin.service != entry.origin.service || origin.version != entry.origin.version;
    setKeptUntil(entry, std::max(entry.origin.keptUntil, origin.keptUntil));
}

void OriginTable::setKeptUntil(Entry &entry, WallMillis keptUntil)
{
    if (keptUntil != entry.origin.keptUntil) {
        m_byEnd.erase({entry.origin.keptUntil, entry.origin.attempt});
        entry.origin.keptUntil = keptUntil;
        m_byEnd.emplace(keptUntil, entry.origin.attempt);
    }
}

const StreamOrigin *OriginTable::find(const CallId &attempt) const
{
    const auto found = m_entries.find(attempt);
    return found == m_entries.end() || found->second.isDisputed ? nullptr : &found->second.origin;
}

void OriginTable::expire(WallMillis now)
{
    while (!m_byEnd.empty() && m_byEnd.begin()->first < now) {
        m_entries.erase(m_byEnd.begin()->second);
        m_byEnd.erase(m_byEnd.begin());
    }
}

} // namespace basilhall::resumption
