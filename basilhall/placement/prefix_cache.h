// Estimates which prompt parts an engine has cached, from the requests that were sent to it.
//
//     PrefixCache cache(engine.cacheTokens);
//     const std::uint64_t cached = cache.cachedTokens(prompt);
//     cache.add(prompt);
#pragma once

#include "basilhall/placement/prompt_part.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace basilhall::placement
{

// Not thread-safe. Evicts the least recently used parts when the tokens exceed the capacity, but
// never a part of the prompt just added.
class PrefixCache
{
public:
    explicit PrefixCache(std::uint64_t capacityTokens);

    // Returns the number of leading tokens of `prompt` that are cached.
    std::uint64_t cachedTokens(const Prompt &prompt) const;
    void add(const Prompt &prompt);
    void clear();

private:
    struct Entry {
        std::uint64_t tokens = 0;
        std::list<std::uint64_t>::iterator position;
    };

    std::uint64_t m_capacityTokens;
    std::uint64_t m_tokens = 0;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    // Most recently used first.
    std::list<std::uint64_t> m_recentlyUsed;
};

} // namespace basilhall::placement
