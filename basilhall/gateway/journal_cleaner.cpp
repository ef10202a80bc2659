#include "basilhall/gateway/journal_cleaner.h"

#include "basilhall/gateway/ledger_snapshot.h"
#include "basilhall/gateway/turn_index.h"

#include <algorithm>

namespace basilhall::gateway
{

namespace
{

// Covers clock differences between hosts, and callers that return at the end of the retention time.
constexpr WallMillis kRemovalMarginMillis = 10'000;

} // namespace

JournalCleaner::JournalCleaner(const turns::TurnTable &table)
    : m_table(table)
{
}

void JournalCleaner::onBatch(const Incarnation &writer, journal::BatchNumber number,
                             BatchContent content)
{
    Journal &entry = m_journals[writer];
    entry.lastKeptUntil = std::max(entry.lastKeptUntil, content.keptUntil);
    entry.batches.insert_or_assign(number, std::move(content));
}

bool JournalCleaner::isNeeded(const BatchContent &content) const
{
    return std::any_of(content.turns.begin(), content.turns.end(),
                       [this](const turns::TurnId &id) { return m_table.isKept(id); });
}

void JournalCleaner::onIndexPart(const Incarnation &writer, journal::BatchNumber lastBatch)
{
    m_journals[writer].indexParts.insert(lastBatch);
}

journal::BatchNumber JournalCleaner::firstBatch(const Incarnation &writer,
                                                journal::BatchNumber none) const
{
    const auto found = m_journals.find(writer);
    return found == m_journals.end() || found->second.batches.empty()
        ? none
        : found->second.batches.begin()->first;
}

void JournalCleaner::removeIndexParts(const Incarnation &writer, Journal &journal,
                                      std::size_t limit, std::vector<store::ObjectKey> &keys)
{
    std::set<journal::BatchNumber> &parts = journal.indexParts;
    while (!parts.empty() && keys.size() < limit
           && (journal.batches.empty() || *parts.begin() < journal.batches.begin()->first)) {
        keys.push_back(turnIndexKey(writer, *parts.begin()));
        parts.erase(parts.begin());
    }
}

void JournalCleaner::onLedger(const Incarnation &writer, WallMillis keptUntil)
{
    Journal &entry = m_journals[writer];
    entry.hasLedger = true;
    entry.lastKeptUntil = std::max(entry.lastKeptUntil, keptUntil);
}

void JournalCleaner::extendLedger(const Incarnation &writer, WallMillis keptUntil)
{
    const auto found = m_journals.find(writer);
    if (found != m_journals.end()) {
        found->second.lastKeptUntil = std::max(found->second.lastKeptUntil, keptUntil);
    }
}

std::vector<store::ObjectKey>
JournalCleaner::expired(WallMillis now, const std::set<Incarnation> &live, std::size_t limit)
{
    std::vector<store::ObjectKey> keys;
    for (auto journal = m_journals.begin(); journal != m_journals.end() && keys.size() < limit;) {
        Journal &entry = journal->second;
        if (live.contains(journal->first)) {
            ++journal;
            continue;
        }
        while (!entry.batches.empty() && keys.size() < limit
               && entry.batches.begin()->second.keptUntil + kRemovalMarginMillis < now) {
            BatchContent &first = entry.batches.begin()->second;
            if (isNeeded(first)) {
                first.keptUntil = now;
                break;
            }
            keys.push_back(journal::batchKey(journal->first, entry.batches.begin()->first));
            entry.batches.erase(entry.batches.begin());
        }
        removeIndexParts(journal->first, entry, limit, keys);
        const bool isExpired = entry.batches.empty() && entry.indexParts.empty()
            && entry.lastKeptUntil + kRemovalMarginMillis < now;
        if (isExpired && entry.hasLedger && keys.size() < limit) {
            keys.push_back({kLedgerKind, journal->first.value()});
        }
        journal = isExpired && keys.size() < limit ? m_journals.erase(journal) : std::next(journal);
    }
    return keys;
}

} // namespace basilhall::gateway
