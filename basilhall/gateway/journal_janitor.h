// Chooses which journal batches and ledgers can be removed: those whose turns are no longer kept.
//
//     JournalJanitor janitor(table);
//     janitor.onBatch(incarnation, number, {keptUntil, turnIds});
//     for (const store::ObjectKey &key : janitor.expired(now, live, 20)) { remove(key); }
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/journal/batch_codec.h"
#include "basilhall/store/object_key.h"
#include "basilhall/turns/turn_table.h"

#include <map>
#include <set>
#include <vector>

namespace basilhall::gateway
{

// What a batch holds.
struct BatchContent {
    // Until when it is needed at least.
    WallMillis keptUntil = 0;
    std::vector<turns::TurnId> turns;

    auto operator<=>(const BatchContent &) const = default;
};

// Not thread-safe. The table must outlive it.
class JournalJanitor
{
public:
    // A turn that `table` still holds is needed: a later turn goes on from it.
    explicit JournalJanitor(const turns::TurnTable &table);

    // A batch that stands in the store.
    void onBatch(const Incarnation &writer, journal::BatchNumber number, BatchContent content);
    // A journal whose ledger stands in the store and goes with it, not before `keptUntil`.
    void onLedger(const Incarnation &writer, WallMillis keptUntil);
    // Returns at most `limit` objects whose time is over and no longer counts them; a ledger comes
    // after the last batch of its journal. Journals of `live` incarnations are left to these.
    std::vector<store::ObjectKey> expired(WallMillis now, const std::set<Incarnation> &live,
                                          std::size_t limit);

private:
    struct Journal {
        std::map<journal::BatchNumber, BatchContent> batches;
        bool hasLedger = false;
        WallMillis lastKept = 0;
    };

    bool isNeeded(const BatchContent &content) const;

    const turns::TurnTable &m_table;
    std::map<Incarnation, Journal> m_journals;
};

} // namespace basilhall::gateway
