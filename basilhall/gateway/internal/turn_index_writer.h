// Decides which turns of a journal are listed in its ledger and which in parts of its index, so
// that the ledger stays small and each turn is written to a part once.
//
//     TurnIndexWriter index(self);
//     index.add({id, {self, batch, previous, keptUntil}});
//     if (const auto part = index.beginPart(table, firstBatch)) { write(*part); }
//     index.onPartWritten(true);
//     ledger.turns = index.unsaved(table, firstBatch);
#pragma once

#include "basilhall/gateway/turn_index.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace basilhall::turns
{
class TurnTable;
}

namespace basilhall::gateway
{

// Number of turns from which a part is written.
inline constexpr std::size_t kIndexPartTurns = 1000;

// Not thread-safe.
class TurnIndexWriter
{
public:
    explicit TurnIndexWriter(Incarnation self);

    // Adds a turn of a durable batch; batches are added in order.
    void add(IndexedTurn turn);
    // Returns the part to write, if one is due and none is being written. `firstBatch` is the first
    // batch that has not been removed; `table` may keep turns for longer.
    std::optional<TurnIndexPart> beginPart(const turns::TurnTable &table,
                                           journal::BatchNumber firstBatch);
    // Returns the last batch of the part if it is durable; after a failure it will be due again.
    std::optional<journal::BatchNumber> onPartWritten(bool isDurable);
    // Returns the turns from `firstBatch` on that are in no durable part. Expired ones are included
    // while their batch exists: a turn that this gateway does not know may continue them.
    std::vector<IndexedTurn> unsaved(const turns::TurnTable &table,
                                     journal::BatchNumber firstBatch);
    // The last batch that durable parts include; 0 without one.
    journal::BatchNumber lastSavedBatch() const { return m_lastSavedBatch; }

private:
    Incarnation m_self;
    std::vector<IndexedTurn> m_unsaved;
    // The part that is being written.
    std::optional<TurnIndexPart> m_part;
    // The part that failed: it may have become durable, so it is repeated unchanged.
    std::optional<TurnIndexPart> m_failedPart;
    journal::BatchNumber m_lastSavedBatch = 0;
};

} // namespace basilhall::gateway
