#include "basilhall/placement/prefix_cache.h"

#include <algorithm>

namespace basilhall::placement
{

PrefixCache::PrefixCache(std::uint64_t capacityTokens)
    : m_capacityTokens(capacityTokens)
{
}

std::uint64_t PrefixCache::cachedTokens(const Prompt &prompt) const
{
    std::uint64_t cached = 0;
    for (const PromptPart &part : prompt) {
        const auto found = m_entries.find(part.id);
        if (found == m_entries.end()) {
            break;
        }
        cached += std::min(part.tokens, found->second.tokens);
        if (found->second.tokens < part.tokens) {
            break;
        }
    }
    return cached;
}

void PrefixCache::add(const Prompt &prompt)
{
    // Last part first, so that leading parts, which prompts share, are evicted last.
    for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
        const auto [inserted, isNew] = m_entries.try_emplace(part->id);
        Entry &entry = inserted->second;
        if (isNew) {
            m_recentlyUsed.push_front(part->id);
            entry.position = m_recentlyUsed.begin();
        } else {
            m_recentlyUsed.splice(m_recentlyUsed.begin(), m_recentlyUsed, entry.position);
        }
        m_tokens += std::max(part->tokens, entry.tokens) - entry.tokens;
        entry.tokens = std::max(part->tokens, entry.tokens);
    }
    while (m_tokens > m_capacityTokens && m_recentlyUsed.size() > prompt.size()) {
        const auto oldest = m_entries.find(m_recentlyUsed.back());
        m_tokens -= oldest->second.tokens;
        m_entries.erase(oldest);
        m_recentlyUsed.pop_back();
    }
}

void PrefixCache::clear()
{
    m_entries.clear();
    m_recentlyUsed.clear();
    m_tokens = 0;
}

} // namespace basilhall::placement
