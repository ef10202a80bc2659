#include "standin/engine/prefix_cache.h"

namespace standin
{

PrefixCache::PrefixCache(std::uint64_t maxTokens, Listener listener)
    : m_maxTokens(maxTokens)
    , m_listener(std::move(listener))
{
}

PrefixCache::Block PrefixCache::blockOf(const ChatMessage &message)
{
    return {std::hash<std::string>()(message.role + '\x1f' + message.content), tokensOf(message)};
}

std::uint64_t PrefixCache::cachedTokens(const std::string &session,
                                        const std::vector<ChatMessage> &messages) const
{
    const auto found = m_entries.find(session);
    if (found == m_entries.end()) {
        return 0;
    }
    const std::vector<Block> &blocks = found->second.blocks;
    std::uint64_t tokens = 0;
    for (std::size_t i = 0; i < blocks.size() && i < messages.size(); ++i) {
        if (blocks[i].hash != blockOf(messages[i]).hash) {
            break;
        }
        tokens += blocks[i].tokens;
    }
    return tokens;
}

void PrefixCache::store(const std::string &session, const std::vector<ChatMessage> &messages)
{
    if (session.empty()) {
        return;
    }
    remove(session);
    Entry entry;
    for (const ChatMessage &message : messages) {
        entry.blocks.push_back(blockOf(message));
        entry.tokens += entry.blocks.back().tokens;
    }
    if (entry.tokens > m_maxTokens) {
        return;
    }
    entry.use = m_uses.insert(m_uses.end(), session);
    m_tokens += entry.tokens;
    m_listener(session, entry.tokens);
    m_entries.emplace(session, std::move(entry));
    evict();
}

bool PrefixCache::remove(const std::string &session)
{
    const auto found = m_entries.find(session);
    if (found == m_entries.end()) {
        return false;
    }
    m_tokens -= found->second.tokens;
    m_uses.erase(found->second.use);
    m_entries.erase(found);
    m_listener(session, 0);
    return true;
}

std::map<std::string, std::uint64_t> PrefixCache::tokensBySession() const
{
    std::map<std::string, std::uint64_t> tokens;
    for (const auto &[session, entry] : m_entries) {
        tokens[session] = entry.tokens;
    }
    return tokens;
}

void PrefixCache::evict()
{
    while (m_tokens > m_maxTokens) {
        const std::string oldest = m_uses.front();
        remove(oldest);
    }
}

} // namespace standin
