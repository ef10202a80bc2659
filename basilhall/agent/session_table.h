// Tracks the programs whose prefix is cached by the engine and decides when to free each prefix.
//
//     table.touch(program, shard, epoch, now);   // a call of the program starts
//     table.release(program, epoch);             // its owner has released it
//     for (const Session &session : table.due(now, isLive)) { ... DELETE ... }
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

namespace basilhall::agent
{

// The prefix of a program is freed after this time without a call, whether or not its owner is
// alive.
inline constexpr Duration kSessionIdleLimit = std::chrono::minutes(5);
// The idle limit once its shard has a newer owner that has sent no call of the program.
inline constexpr Duration kSupersededLimit = std::chrono::seconds(60);
// Maximum number of programs. When it is exceeded, the least recently used ones are freed.
inline constexpr std::size_t kMaxSessions = 4096;

// Immutable value.
struct Session {
    ProgramId program;
    // Fencing token for the request that frees the program; 0 if no owner is known.
    std::uint64_t epoch = 0;
    std::uint64_t tokens = 0;

    auto operator<=>(const Session &) const = default;
};

// Not thread-safe.
class SessionTable
{
public:
    using IsLive = std::function<bool(const ProgramId &)>;

    // Records that a call of the program starts under `epoch` of its shard.
    void touch(const ProgramId &program, std::uint32_t shard, std::uint64_t epoch, Instant now);
    // Sets the number of tokens that the engine has cached. Adds the program if it is not in the
    // table and `tokens` is not 0.
    void setTokens(const ProgramId &program, std::uint64_t tokens, Instant now);
    // Records that the owner has released the program. Adds the program if it is not in the table.
    void release(const ProgramId &program, std::uint64_t epoch, Instant now);
    // Records a message from an owner with this epoch.
    void observeEpoch(std::uint32_t shard, std::uint64_t epoch, Instant now);

    // Returns the programs to free now. Skips programs with a live call.
    std::vector<Session> due(Instant now, const IsLive &isLive) const;
    // Removes a program that the engine has freed after a request sent at `sent`. The program
    // stays in the table if a call has started since then.
    void freed(const ProgramId &program, Instant sent);

    // Returns up to `count` programs with cached tokens, most recently used first.
    std::vector<Session> newest(std::size_t count) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::uint32_t shard = 0;
        std::uint64_t epoch = 0;
        std::uint64_t tokens = 0;
        Instant lastUsed;
        bool isReleased = false;
    };
    struct ShardOwner {
        std::uint64_t epoch = 0;
        Instant since;
    };

    bool isSuperseded(const Entry &entry, Instant now) const;

    std::unordered_map<ProgramId, Entry> m_entries;
    std::unordered_map<std::uint32_t, ShardOwner> m_owners;
};

} // namespace basilhall::agent
