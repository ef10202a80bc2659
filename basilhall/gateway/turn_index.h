// Stored form of the index of a journal: which batch contains which turn.
//
//     const std::string data = encodeTurnIndexPart(part);
//     Result<TurnIndexPart> decoded = decodeTurnIndexPart(key, data);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/result.h"
#include "basilhall/journal/batch_codec.h"
#include "basilhall/store/object_key.h"
#include "basilhall/turns/stored_turn.h"

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::gateway
{

namespace wire
{
class StoredTurn;
}

// Kind of the objects that contain parts of indexes.
inline constexpr const char *kTurnIndexKind = "indexes";

// Immutable value.
struct IndexedTurn {
    turns::TurnId id;
    turns::StoredTurn stored;

    auto operator<=>(const IndexedTurn &) const = default;
};

// The turns in the batches after those of the previous part, up to `lastBatch`. Immutable value.
struct TurnIndexPart {
    Incarnation incarnation;
    journal::BatchNumber lastBatch = 0;
    std::vector<IndexedTurn> turns;

    auto operator<=>(const TurnIndexPart &) const = default;
};

// Returns `indexes/<incarnation>.<last batch with 20 digits>`.
store::ObjectKey turnIndexKey(const Incarnation &incarnation, journal::BatchNumber lastBatch);
std::string encodeTurnIndexPart(const TurnIndexPart &part);
// Error Corrupt names the object.
Result<TurnIndexPart> decodeTurnIndexPart(const store::ObjectKey &key, std::string_view data);

wire::StoredTurn toWire(const IndexedTurn &turn);
IndexedTurn fromWire(const Incarnation &journal, const wire::StoredTurn &turn);

} // namespace basilhall::gateway
