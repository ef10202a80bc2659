// Holds the kept turns that a process knows and builds prompts from their chains. Of some turns it
// knows only where they are stored: the content in memory is bounded, and what was not used for
// longest is dropped first.
//
//     TurnTable table(24 * 1024 * 1024);
//     table.add(turn);
//     table.addStored(id, stored);
//     Result<std::string> prompt = table.prompt(previous, team, input);
//     table.expire(wallNow);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/turns/kept_turn.h"
#include "basilhall/turns/stored_turn.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/list_hook.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace basilhall::turns
{

// Bytes of content that a table holds by default: some seconds of turns of the largest size, on
// hosts with 88 MB of memory.
inline constexpr std::size_t kDefaultContentBytes = 24UL * 1024 * 1024;

// Not thread-safe. Apart from the content, memory use grows with the number of kept turns.
class TurnTable
{
public:
    // Holds up to `maxContentBytes` of content, and beyond that only what is pinned.
    explicit TurnTable(std::size_t maxContentBytes = kDefaultContentBytes);
    TurnTable(const TurnTable &) = delete;
    TurnTable &operator=(const TurnTable &) = delete;

    // Adds a turn, and keeps its whole chain for at least as long. Adding a known turn again only
    // extends its retention. Drops the content of turns that were used less recently if the bound
    // requires it; these stay known as turns that another gateway or the store has.
    void add(KeptTurn turn);
    // Adds where a turn is stored, and keeps its whole chain for at least as long. Replaces an
    // entry that does not know where.
    void addStored(const TurnId &id, const StoredTurn &stored);
    // True if the content of the turn is known.
    bool contains(const TurnId &id) const { return m_turns.contains(id); }
    // True if the content of the turn is known, or where it is stored.
    bool isKept(const TurnId &id) const { return m_turns.contains(id) || m_stored.contains(id); }
    // Returns where the turn is stored; nullptr if unknown.
    const StoredTurn *stored(const TurnId &id) const;
    // Returns where the turns of the chain that ends with `id` are stored whose content is unknown,
    // newest first; nullopt if this is unknown for one of them.
    std::optional<std::vector<StoredTurn>> missing(const TurnId &id) const;
    // Returns the known turns of the chain that ends with `id`, newest first, up to the first
    // unknown turn.
    std::vector<KeptTurn> chain(const TurnId &id) const;
    // True if the content of the turn and of all turns before it in its chain is known.
    bool hasWholeChain(const TurnId &id) const;
    bool belongsTo(const TurnId &id, const TeamName &team) const;
    // Returns the allowed regions of a turn whose content is known; see KeptTurn.
    std::vector<std::string> allowedRegions(const TurnId &id) const;
    // Returns the turns of the chain that ends with `id` whose content is unknown, newest first, up
    // to the first unknown turn.
    std::vector<TurnId> unread(const TurnId &id) const;
    // Returns the turns of the chain that ends with `id`, newest first, up to the first unknown
    // turn.
    std::vector<TurnId> chainIds(const TurnId &id) const;
    // Returns the prompt for the endpoint: the input and output of each turn of the chain that ends
    // with `previous`, oldest first, followed by `input`. NotFound names the first turn that is
    // unknown or belongs to another team. Counts as a use of the chain.
    Result<std::string> prompt(const TurnId &previous, const TeamName &team,
                               const std::string &input);
    // Removes the turns whose retention ended before `now`.
    void expire(WallMillis now);
    // Number of turns whose content is known.
    std::size_t size() const { return m_turns.size(); }
    std::size_t storedCount() const { return m_stored.size(); }

    // The content of a pinned turn, known now or added later, is not dropped to keep the bound.
    // Pins are counted; see PinnedTurns.
    void pin(const TurnId &id);
    void unpin(const TurnId &id);
    // Expires with the table.
    std::weak_ptr<const void> lifetime() const { return m_lifetime; }
    // Bytes of content in memory, and how many of them are pinned.
    std::size_t contentBytes() const { return m_contentBytes; }
    std::size_t pinnedBytes() const { return m_pinnedBytes; }
    std::size_t maxContentBytes() const { return m_maxContentBytes; }
    // True if the content of the turn fits without dropping that of others.
    bool hasRoomFor(const KeptTurn &turn) const;

private:
    using Hook = boost::intrusive::list_base_hook<
        boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
    struct HeldTurn : Hook {
        KeptTurn turn;
        bool isPinned = false;
    };
    using HeldTurns = std::unordered_map<TurnId, HeldTurn>;

    static std::size_t bytesOf(const KeptTurn &turn);
    // The turn becomes the most recently used one.
    void noteUse(HeldTurn &held);
    void setPinned(HeldTurn &held, bool isPinned);
    void drop(HeldTurns::iterator held);
    void dropBeyondBound();
    // Keeps the turn `id`, which has just been added, and the chain that it continues until
    // `keptUntil` at least.
    void keepChain(TurnId id, WallMillis keptUntil);

    const std::shared_ptr<const char> m_lifetime = std::make_shared<const char>();
    const std::size_t m_maxContentBytes;
    std::size_t m_contentBytes = 0;
    std::size_t m_pinnedBytes = 0;
    HeldTurns m_turns;
    // The turns in `m_turns`, the least recently used first.
    boost::intrusive::list<HeldTurn, boost::intrusive::constant_time_size<false>> m_byUse;
    std::unordered_map<TurnId, std::size_t> m_pins;
    std::unordered_map<TurnId, StoredTurn> m_stored;
    // True once a turn with allowed regions was added.
    bool m_hasRestricted = false;
    // Turns that are not known, but that a known turn continues, and until when they are needed.
    std::unordered_map<TurnId, WallMillis> m_neededUntil;
};

} // namespace basilhall::turns
