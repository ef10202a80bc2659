#include "basilhall/gateway/journal_janitor.h"

#include "basilhall/gateway/ledger_snapshot.h"

#include <algorithm>

namespace basilhall::gateway
{

namespace
{

// Clocks of hosts differ, and a caller may come back at the very end of a turn's time.
constexpr WallMillis kMarginMillis = 10'000;

} // namespace

JournalJanitor::JournalJanitor(const turns::TurnTable &table)
    : m_table(table)
{
}

void JournalJanitor::onBatch(const Incarnation &writer, journal::BatchNumber number,
                             BatchContent content)
{
    Journal &entry = m_journals[writer];
    entry.lastKept = std::max(entry.lastKept, content.keptUntil);
    entry.batches.insert_or_assign(number, std::move(content));
}

bool JournalJanitor::isNeeded(const BatchContent &content) const
{
    return std::any_of(content.turns.begin(), content.turns.end(),
                       [this](const turns::TurnId &id) { return m_table.contains(id); });
}

void JournalJanitor::onLedger(const Incarnation &writer, WallMillis keptUntil)
{
    Journal &entry = m_journals[writer];
    entry.hasLedger = true;
    entry.lastKept = std::max(entry.lastKept, keptUntil);
}

std::vector<store::ObjectKey>
JournalJanitor::expired(WallMillis now, const std::set<Incarnation> &live, std::size_t limit)
{
    std::vector<store::ObjectKey> keys;
    for (auto journal = m_journals.begin(); journal != m_journals.end() && keys.size() < limit;) {
        Journal &entry = journal->second;
        if (live.contains(journal->first)) {
            ++journal;
            continue;
        }
        while (!entry.batches.empty() && keys.size() < limit
               && entry.batches.begin()->second.keptUntil + kMarginMillis < now) {
            BatchContent &first = entry.batches.begin()->second;
            if (isNeeded(first)) {
                first.keptUntil = now;
                break;
            }
            keys.push_back(journal::batchKey(journal->first, entry.batches.begin()->first));
            entry.batches.erase(entry.batches.begin());
        }
        const bool isOver = entry.batches.empty() && entry.lastKept + kMarginMillis < now;
        if (isOver && entry.hasLedger && keys.size() < limit) {
            keys.push_back({kLedgerKind, journal->first.value()});
        }
        journal = isOver && keys.size() < limit ? m_journals.erase(journal) : std::next(journal);
    }
    return keys;
}

} // namespace basilhall::gateway
