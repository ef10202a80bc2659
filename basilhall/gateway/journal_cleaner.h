// Selects the journal batches, parts of indexes and ledgers to remove: those whose turns are no
// longer kept.
//
//     JournalCleaner cleaner(table);
//     cleaner.onBatch(incarnation, number, {keptUntil, turnIds});
//     for (const store::ObjectKey &key : cleaner.expired(now, live, 20)) { remove(key); }
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

// The content of a batch that decides when it can be removed.
struct BatchContent {
    // Wall-clock time in ms until which the batch is needed at least.
    WallMillis keptUntil = 0;
    std::vector<turns::TurnId> turns;

    auto operator<=>(const BatchContent &) const = default;
};

// Not thread-safe. The table must outlive it.
class JournalCleaner
{
public:
    // A batch with a turn that `table` still keeps is kept, because a later turn continues it.
    explicit JournalCleaner(const turns::TurnTable &table);

    // Adds a batch that is in the store.
    void onBatch(const Incarnation &writer, journal::BatchNumber number, BatchContent content);
    // Adds a part of an index that is in the store. It is removed after the batches that it lists.
    void onIndexPart(const Incarnation &writer, journal::BatchNumber lastBatch);
    // Returns the first batch of the journal that is in the store; `none` if there is none.
    journal::BatchNumber firstBatch(const Incarnation &writer, journal::BatchNumber none) const;
    // Adds a ledger that is in the store. It is removed after its journal, not before `keptUntil`.
    void onLedger(const Incarnation &writer, WallMillis keptUntil);
    // Keeps the ledger of the writer until `keptUntil` at least, if it has one.
    void extendLedger(const Incarnation &writer, WallMillis keptUntil);
    // Returns and forgets at most `limit` objects that are no longer needed; a ledger follows the
    // last batch of its journal. Skips the journals of `live` incarnations, which clean up
    // themselves.
    std::vector<store::ObjectKey> expired(WallMillis now, const std::set<Incarnation> &live,
                                          std::size_t limit);

private:
    struct Journal {
        std::map<journal::BatchNumber, BatchContent> batches;
        // The last batches of the parts of its index.
        std::set<journal::BatchNumber> indexParts;
        bool hasLedger = false;
        WallMillis lastKeptUntil = 0;
    };

    bool isNeeded(const BatchContent &content) const;
    // Adds the parts of the index whose batches have been removed to `keys`, and forgets them.
    static void removeIndexParts(const Incarnation &writer, Journal &journal, std::size_t limit,
                                 std::vector<store::ObjectKey> &keys);

    const turns::TurnTable &m_table;
    std::map<Incarnation, Journal> m_journals;
};

} // namespace basilhall::gateway
