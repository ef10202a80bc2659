#include "basilhall/route/prefix_memory.h"

#include <algorithm>

namespace basilhall::route
{

PrefixMemory::PrefixMemory(std::size_t maxPrograms)
    : m_maxPrograms(std::max<std::size_t>(maxPrograms, 1))
{
}

void PrefixMemory::add(const ProgramId &program, std::uint32_t endpoint, std::uint64_t tokens)
{
    Entry &entry = markUsed(program);
    removeLocation(entry, endpoint);
    const std::size_t kept = std::min(entry.count, kMaxLocations - 1);
    std::copy_backward(entry.locations.begin(), entry.locations.begin() + kept,
                       entry.locations.begin() + kept + 1);
    entry.locations[0] = Location{endpoint, tokens};
    entry.count = kept + 1;
}

void PrefixMemory::remove(const ProgramId &program, std::uint32_t endpoint)
{
    const auto found = m_entries.find(program);
    if (found != m_entries.end()) {
        removeLocation(found->second, endpoint);
    }
}

void PrefixMemory::remove(const ProgramId &program)
{
    const auto found = m_entries.find(program);
    if (found != m_entries.end()) {
        m_recentlyUsed.erase(found->second.position);
        m_entries.erase(found);
    }
}

std::span<const PrefixMemory::Location> PrefixMemory::locationsOf(const ProgramId &program) const
{
    const auto found = m_entries.find(program);
    if (found == m_entries.end()) {
        return {};
    }
    return {found->second.locations.data(), found->second.count};
}

void PrefixMemory::removeLocation(Entry &entry, std::uint32_t endpoint)
{
    const auto end = entry.locations.begin() + entry.count;
    const auto kept =
        std::remove_if(entry.locations.begin(), end, [endpoint](const Location &location) {
            return location.endpoint == endpoint;
        });
    entry.count = static_cast<std::size_t>(kept - entry.locations.begin());
}

PrefixMemory::Entry &PrefixMemory::markUsed(const ProgramId &program)
{
    const auto found = m_entries.find(program);
    if (found != m_entries.end()) {
        m_recentlyUsed.splice(m_recentlyUsed.begin(), m_recentlyUsed, found->second.position);
        return found->second;
    }
    if (m_entries.size() >= m_maxPrograms) {
        m_entries.erase(m_recentlyUsed.back());
        m_recentlyUsed.pop_back();
    }
    m_recentlyUsed.push_front(program);
    Entry &entry = m_entries[program];
    entry.position = m_recentlyUsed.begin();
    return entry;
}

} // namespace basilhall::route
