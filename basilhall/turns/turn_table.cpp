#include "basilhall/turns/turn_table.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace basilhall::turns
{

namespace
{

// Memory of a turn beside its texts: names, map entry, links.
constexpr std::size_t kTurnOverheadBytes = 256;

} // namespace

TurnTable::TurnTable(std::size_t maxContentBytes)
    : m_maxContentBytes(maxContentBytes)
{
}

std::size_t TurnTable::bytesOf(const KeptTurn &turn)
{
    return turn.input.size() + turn.output.size() + kTurnOverheadBytes;
}

bool TurnTable::hasRoomFor(const KeptTurn &turn) const
{
    return m_contentBytes + bytesOf(turn) <= m_maxContentBytes;
}

void TurnTable::noteUse(HeldTurn &held)
{
    m_byUse.splice(m_byUse.end(), m_byUse, m_byUse.iterator_to(held));
}

void TurnTable::setPinned(HeldTurn &held, bool isPinned)
{
    if (held.isPinned == isPinned) {
        return;
    }
    held.isPinned = isPinned;
    if (isPinned) {
        m_pinnedBytes += bytesOf(held.turn);
    } else {
        m_pinnedBytes -= bytesOf(held.turn);
    }
}

void TurnTable::pin(const TurnId &id)
{
    ++m_pins[id];
    const auto held = m_turns.find(id);
    if (held != m_turns.end()) {
        setPinned(held->second, true);
        noteUse(held->second);
    }
}

void TurnTable::unpin(const TurnId &id)
{
    const auto pins = m_pins.find(id);
    if (pins == m_pins.end() || --pins->second > 0) {
        return;
    }
    m_pins.erase(pins);
    const auto held = m_turns.find(id);
    if (held != m_turns.end()) {
        setPinned(held->second, false);
        dropBeyondBound();
    }
}

void TurnTable::drop(HeldTurns::iterator held)
{
    setPinned(held->second, false);
    m_contentBytes -= bytesOf(held->second.turn);
    m_turns.erase(held);
}

void TurnTable::dropBeyondBound()
{
    auto next = m_byUse.begin();
    while (m_contentBytes > m_maxContentBytes && next != m_byUse.end()) {
        const HeldTurn &oldest = *next++;
        if (oldest.isPinned) {
            continue;
        }
        const KeptTurn &turn = oldest.turn;
        // Until it is known where it is stored, the gateway that kept it has it.
        m_stored.try_emplace(
            turn.id,
            StoredTurn{Incarnation(), 0, turn.previous, turn.keptUntil, turn.allowedRegions});
        drop(m_turns.find(turn.id));
    }
}

void TurnTable::add(KeptTurn turn)
{
    const TurnId id = turn.id;
    const WallMillis keptUntil = turn.keptUntil;
    m_hasRestricted = m_hasRestricted || !turn.allowedRegions.empty();
    const auto [held, isNew] = m_turns.try_emplace(id);
    if (isNew) {
        held->second.turn = std::move(turn);
        m_byUse.push_back(held->second);
        m_contentBytes += bytesOf(held->second.turn);
        setPinned(held->second, m_pins.contains(id));
    }
    keepChain(id, keptUntil);
    dropBeyondBound();
}

void TurnTable::addStored(const TurnId &id, const StoredTurn &stored)
{
    m_hasRestricted = m_hasRestricted || !stored.allowedRegions.empty();
    const auto [known, isNew] = m_stored.try_emplace(id, stored);
    if (!isNew && known->second.batch == 0 && stored.batch > 0) {
        const WallMillis keptUntil = std::max(known->second.keptUntil, stored.keptUntil);
        known->second = stored;
        known->second.keptUntil = keptUntil;
    }
    keepChain(id, stored.keptUntil);
}

void TurnTable::keepChain(TurnId id, WallMillis keptUntil)
{
    const auto needed = m_neededUntil.extract(id);
    if (!needed.empty()) {
        keptUntil = std::max(keptUntil, needed.mapped());
    }
    if (const auto stored = m_stored.find(id); stored != m_stored.end()) {
        keptUntil = std::max(keptUntil, stored->second.keptUntil);
    }
    for (bool isFirst = true; !id.isEmpty(); isFirst = false) {
        const auto known = m_turns.find(id);
        const auto stored = m_stored.find(id);
        if (known == m_turns.end() && stored == m_stored.end()) {
            WallMillis &until = m_neededUntil[id];
            until = std::max(until, keptUntil);
            return;
        }
        bool isExtended = false;
        TurnId previous;
        const auto extend = [&](auto &turn) {
            isExtended = isExtended || turn.keptUntil < keptUntil;
            turn.keptUntil = std::max(turn.keptUntil, keptUntil);
            previous = turn.previous;
        };
        if (known != m_turns.end()) {
            extend(known->second.turn);
        }
        if (stored != m_stored.end()) {
            extend(stored->second);
        }
        // The turns before one that is kept at least as long are kept as long, too.
        if (!isExtended && !isFirst) {
            return;
        }
        id = previous;
    }
}

const StoredTurn *TurnTable::stored(const TurnId &id) const
{
    const auto found = m_stored.find(id);
    return found == m_stored.end() ? nullptr : &found->second;
}

std::optional<std::vector<StoredTurn>> TurnTable::missing(const TurnId &id) const
{
    std::vector<StoredTurn> found;
    const TurnId *next = &id;
    while (!next->isEmpty()) {
        const auto known = m_turns.find(*next);
        if (known != m_turns.end()) {
            next = &known->second.turn.previous;
            continue;
        }
        const auto stored = m_stored.find(*next);
        if (stored == m_stored.end() || stored->second.batch == 0) {
            return std::nullopt;
        }
        found.push_back(stored->second);
        next = &stored->second.previous;
    }
    return found;
}

std::vector<KeptTurn> TurnTable::chain(const TurnId &id) const
{
    std::vector<KeptTurn> turns;
    for (auto found = m_turns.find(id); found != m_turns.end();
         found = m_turns.find(turns.back().previous)) {
        turns.push_back(found->second.turn);
    }
    return turns;
}

bool TurnTable::hasWholeChain(const TurnId &id) const
{
    auto found = m_turns.find(id);
    while (found != m_turns.end() && !found->second.turn.previous.isEmpty()) {
        found = m_turns.find(found->second.turn.previous);
    }
    return found != m_turns.end();
}

std::vector<std::string> TurnTable::allowedRegions(const TurnId &id) const
{
    if (!m_hasRestricted) {
        return {};
    }
    const auto found = m_turns.find(id);
    if (found != m_turns.end()) {
        return found->second.turn.allowedRegions;
    }
    const StoredTurn *place = stored(id);
    return place == nullptr ? std::vector<std::string>() : place->allowedRegions;
}

std::vector<TurnId> TurnTable::unread(const TurnId &id) const
{
    std::vector<TurnId> ids;
    for (const TurnId *next = &id; !next->isEmpty();) {
        const auto known = m_turns.find(*next);
        if (known != m_turns.end()) {
            next = &known->second.turn.previous;
            continue;
        }
        const auto stored = m_stored.find(*next);
        if (stored == m_stored.end()) {
            break;
        }
        ids.push_back(*next);
        next = &stored->second.previous;
    }
    return ids;
}

std::vector<TurnId> TurnTable::chainIds(const TurnId &id) const
{
    std::vector<TurnId> ids;
    for (const TurnId *next = &id; !next->isEmpty();) {
        const auto known = m_turns.find(*next);
        const auto stored = m_stored.find(*next);
        if (known == m_turns.end() && stored == m_stored.end()) {
            break;
        }
        ids.push_back(*next);
        next = known != m_turns.end() ? &known->second.turn.previous : &stored->second.previous;
    }
    return ids;
}

bool TurnTable::belongsTo(const TurnId &id, const TeamName &team) const
{
    const auto found = m_turns.find(id);
    return found != m_turns.end() && found->second.turn.team == team;
}

Result<std::string> TurnTable::prompt(const TurnId &previous, const TeamName &team,
                                      const std::string &input)
{
    std::vector<HeldTurn *> chain;
    std::size_t bytes = input.size();
    for (const TurnId *id = &previous; !id->isEmpty(); id = &chain.back()->turn.previous) {
        const auto found = m_turns.find(*id);
        if (found == m_turns.end() || found->second.turn.team != team) {
            return Error(ErrorKind::NotFound, "turn \"" + id->value() + "\" does not exist")
                .withNotRun();
        }
        chain.push_back(&found->second);
        bytes += found->second.turn.input.size() + found->second.turn.output.size();
    }
    std::string prompt;
    prompt.reserve(bytes);
    std::for_each(chain.rbegin(), chain.rend(), [&](HeldTurn *held) {
        prompt += held->turn.input;
        prompt += held->turn.output;
        noteUse(*held);
    });
    prompt += input;
    return prompt;
}

void TurnTable::expire(WallMillis now)
{
    for (auto held = m_turns.begin(); held != m_turns.end();) {
        const auto next = std::next(held);
        if (held->second.turn.keptUntil < now) {
            drop(held);
        }
        held = next;
    }
    std::erase_if(m_stored, [now](const auto &entry) { return entry.second.keptUntil < now; });
    std::erase_if(m_neededUntil, [now](const auto &entry) { return entry.second < now; });
}

} // namespace basilhall::turns
