#include "basilhall/placement/prefix_cache.h"

#include <algorithm>

namespace basilhall::placement
{

PrefixCache::PrefixCache(std::uint64_t capacityTokens)
    : m_capacity(capacityTokens)
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
    // Last part first, so that the parts that others share yield last.
    for (auto part = prompt.rbegin(); part != prompt.rend(); ++part) {
        const auto [at, isNew] = m_entries.try_emplace(part->id);
        Entry &entry = at->second;
        if (isNew) {
            m_uses.push_front(part->id);
            entry.use = m_uses.begin();
        } else {
            m_uses.splice(m_uses.begin(), m_uses, entry.use);
        }
        m_tokens += std::max(part->tokens, entry.tokens) - entry.tokens;
        entry.tokens = std::max(part->tokens, entry.tokens);
    }
    while (m_tokens > m_capacity && m_uses.size() > prompt.size()) {
        const auto oldest = m_entries.find(m_uses.back());
        m_tokens -= oldest->second.tokens;
        m_entries.erase(oldest);
        m_uses.pop_back();
    }
}

void PrefixCache::clear()
{
    m_entries.clear();
    m_uses.clear();
    m_tokens = 0;
}

} // namespace basilhall::placement
