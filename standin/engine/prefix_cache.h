// The engine's prefix cache: the messages that each session last left, within limited memory.
#pragma once

#include "standin/engine/chat.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace standin
{

// Drops the least recently used sessions when full. Not thread-safe.
class PrefixCache
{
public:
    // Called for each session stored or removed, with the tokens now held.
    using Listener = std::function<void(const std::string &session, std::uint64_t tokens)>;

    PrefixCache(std::uint64_t maxTokens, Listener listener);

    // Tokens of the longest run of leading messages that `session` left here.
    std::uint64_t cachedTokens(const std::string &session,
                               const std::vector<ChatMessage> &messages) const;
    void store(const std::string &session, const std::vector<ChatMessage> &messages);
    // Returns false if the session holds nothing.
    bool remove(const std::string &session);

    std::uint64_t tokens() const { return m_tokens; }
    std::size_t sessions() const { return m_entries.size(); }
    std::map<std::string, std::uint64_t> tokensBySession() const;

private:
    struct Block {
        std::size_t hash;
        std::uint64_t tokens;
    };
    struct Entry {
        std::vector<Block> blocks;
        std::uint64_t tokens = 0;
        std::list<std::string>::iterator use;
    };

    static Block blockOf(const ChatMessage &message);
    void evict();

    std::uint64_t m_maxTokens;
    Listener m_listener;
    std::map<std::string, Entry> m_entries;
    // Least recently used first.
    std::list<std::string> m_uses;
    std::uint64_t m_tokens = 0;
};

} // namespace standin
