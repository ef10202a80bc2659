// Stored form of the ledger of one gateway, as of a batch of its journal, with the newest part of
// the index of the journal.
//
//     const std::string data = encodeLedger(snapshot);
//     Result<LedgerSnapshot> decoded = decodeLedger(key, data);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/result.h"
#include "basilhall/gateway/turn_index.h"
#include "basilhall/journal/batch_codec.h"
#include "basilhall/resumption/stream_origin.h"
#include "basilhall/store/object_key.h"
#include "basilhall/turns/budget_ledger.h"

#include <compare>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace basilhall::gateway
{

// Kind of the objects that contain ledgers; the object name is the incarnation.
inline constexpr const char *kLedgerKind = "ledgers";

// Immutable value.
struct LedgerSnapshot {
    Incarnation incarnation;
    // The last batch whose spending is included.
    journal::BatchNumber batch = 0;
    std::vector<std::pair<Incarnation, turns::SpendReport>> spends;
    // The host that the incarnation runs on; empty if unknown.
    HostName host;
    // True if `turns` and the index parts list all turns in the journal up to `batch`. Ledgers of
    // earlier versions have no index.
    bool hasTurnIndex = false;
    // The turns in the batches after `indexedBatch`.
    std::vector<IndexedTurn> turns{};
    // The first batch that may still be in the object API.
    journal::BatchNumber firstBatch = 0;
    // The last batch that the index parts include; 0 if there is none.
    journal::BatchNumber indexedBatch = 0;
    // The streams in the journal that callers may still continue.
    std::vector<resumption::StreamOrigin> streams{};

    auto operator<=>(const LedgerSnapshot &) const = default;
};

std::string encodeLedger(const LedgerSnapshot &snapshot);
// Error Corrupt names the object.
Result<LedgerSnapshot> decodeLedger(const store::ObjectKey &key, std::string_view data);

} // namespace basilhall::gateway
