// Stored form of the ledger of one gateway, as of a batch of its journal.
//
//     const std::string data = encodeLedger(snapshot);
//     Result<LedgerSnapshot> decoded = decodeLedger(key, data);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/result.h"
#include "basilhall/journal/batch_codec.h"
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

    auto operator<=>(const LedgerSnapshot &) const = default;
};

std::string encodeLedger(const LedgerSnapshot &snapshot);
// Error Corrupt names the object.
Result<LedgerSnapshot> decodeLedger(const store::ObjectKey &key, std::string_view data);

} // namespace basilhall::gateway
