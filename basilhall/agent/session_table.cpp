#include "basilhall/agent/session_table.h"

#include <algorithm>

namespace basilhall::agent
{

void SessionTable::touch(const ProgramId &program, std::uint32_t shard, std::uint64_t epoch,
                         Instant now)
{
    observeEpoch(shard, epoch, now);
    Entry &entry = m_entries[program];
    entry.shard = shard;
    entry.epoch = epoch;
    entry.lastUsed = now;
    entry.isReleased = false;
}

void SessionTable::setTokens(const ProgramId &program, std::uint64_t tokens, Instant now)
{
    if (tokens == 0 && !m_entries.contains(program)) {
        return;
    }
    const auto [entry, isNew] = m_entries.try_emplace(program);
    entry->second.tokens = tokens;
    if (isNew) {
        entry->second.lastUsed = now;
    }
}

void SessionTable::release(const ProgramId &program, std::uint64_t epoch, Instant now)
{
    const auto [entry, isNew] = m_entries.try_emplace(program);
    entry->second.epoch = std::max(entry->second.epoch, epoch);
    entry->second.isReleased = true;
    if (isNew) {
        entry->second.lastUsed = now;
    }
}

void SessionTable::observeEpoch(std::uint32_t shard, std::uint64_t epoch, Instant now)
{
    ShardOwner &owner = m_owners[shard];
    if (epoch > owner.epoch) {
        owner = {epoch, now};
    }
}

std::vector<Session> SessionTable::due(Instant now, const IsLive &isLive) const
{
    std::vector<Session> due;
    std::vector<std::pair<Instant, ProgramId>> others;
    for (const auto &[program, entry] : m_entries) {
        if (isLive(program)) {
            continue;
        }
        const bool isIdle = now - entry.lastUsed >= kSessionIdleLimit;
        if (entry.isReleased || isIdle || isSuperseded(entry, now)) {
            due.push_back({program, entry.epoch, entry.tokens});
        } else {
            others.emplace_back(entry.lastUsed, program);
        }
    }
    if (m_entries.size() - due.size() > kMaxSessions) {
        const std::size_t excess =
            std::min(m_entries.size() - due.size() - kMaxSessions, others.size());
        std::partial_sort(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(excess),
                          others.end());
        for (std::size_t i = 0; i < excess; ++i) {
            const Entry &entry = m_entries.at(others[i].second);
            due.push_back({others[i].second, entry.epoch, entry.tokens});
        }
    }
    return due;
}

bool SessionTable::isSuperseded(const Entry &entry, Instant now) const
{
    const auto owner = m_owners.find(entry.shard);
    if (entry.epoch == 0 || owner == m_owners.end() || owner->second.epoch <= entry.epoch) {
        return false;
    }
    return now - std::max(owner->second.since, entry.lastUsed) >= kSupersededLimit;
}

void SessionTable::freed(const ProgramId &program, Instant sent)
{
    const auto entry = m_entries.find(program);
    if (entry != m_entries.end() && entry->second.lastUsed <= sent) {
        m_entries.erase(entry);
    }
}

std::vector<Session> SessionTable::newest(std::size_t count) const
{
    std::vector<std::pair<Instant, Session>> cached;
    for (const auto &[program, entry] : m_entries) {
        if (entry.tokens > 0 && !entry.isReleased) {
            cached.emplace_back(entry.lastUsed, Session{program, entry.epoch, entry.tokens});
        }
    }
    const std::size_t size = std::min(count, cached.size());
    std::partial_sort(cached.begin(), cached.begin() + static_cast<std::ptrdiff_t>(size),
                      cached.end(), std::greater<>());
    std::vector<Session> newest;
    for (std::size_t i = 0; i < size; ++i) {
        newest.push_back(std::move(cached[i].second));
    }
    return newest;
}

} // namespace basilhall::agent
