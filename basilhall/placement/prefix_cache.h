// What an engine most likely holds of prompts, from the requests that were sent to it.
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

// Not thread-safe. Least recently used parts yield once the tokens exceed the capacity.
class PrefixCache
{
public:
    explicit PrefixCache(std::uint64_t capacityTokens);

    // Tokens of the leading parts that are cached; the first part that is not ends the count.
    std::uint64_t cachedTokens(const Prompt &prompt) const;
    void add(const Prompt &prompt);
    void clear();

private:
    struct Entry {
        std::uint64_t tokens = 0;
        std::list<std::uint64_t>::iterator use;
    };

    std::uint64_t m_capacity;
    std::uint64_t m_tokens = 0;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    // Most recently used first.
    std::list<std::uint64_t> m_uses;
};

} // namespace basilhall::placement
