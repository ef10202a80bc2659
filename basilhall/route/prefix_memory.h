// Records which endpoints are likely to have the prompt prefix of a program cached.
//
//     PrefixMemory memory(100'000);
//     memory.add(program, endpoint, 5000);
//     for (const PrefixMemory::Location &location : memory.locationsOf(program)) { ... }
#pragma once

#include "basilhall/base/identifier.h"

#include <array>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace basilhall::route
{

// Not thread-safe. Holds at most `maxPrograms` programs and evicts the least recently used first.
// Each call is O(1).
class PrefixMemory
{
public:
    // The number of an endpoint in the pool, and the prompt tokens that it has cached.
    struct Location {
        std::uint32_t endpoint = 0;
        std::uint64_t tokens = 0;

        auto operator<=>(const Location &) const = default;
    };

    // Maximum number of endpoints recorded per program.
    static constexpr std::size_t kMaxLocations = 2;

    explicit PrefixMemory(std::size_t maxPrograms);

    // Records that the endpoint has `tokens` of the program's prefix cached. Evicts the program's
    // oldest location if there are more than kMaxLocations.
    void add(const ProgramId &program, std::uint32_t endpoint, std::uint64_t tokens);
    // The endpoint no longer has the program's prefix.
    void remove(const ProgramId &program, std::uint32_t endpoint);
    void remove(const ProgramId &program);

    // Returns the locations, latest first. The span is valid until the next change.
    std::span<const Location> locationsOf(const ProgramId &program) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::array<Location, kMaxLocations> locations;
        std::size_t count = 0;
        std::list<ProgramId>::iterator position;
    };

    static void removeLocation(Entry &entry, std::uint32_t endpoint);
    Entry &markUsed(const ProgramId &program);

    std::size_t m_maxPrograms;
    std::unordered_map<ProgramId, Entry> m_entries;
    // Most recently used first.
    std::list<ProgramId> m_recentlyUsed;
};

} // namespace basilhall::route
