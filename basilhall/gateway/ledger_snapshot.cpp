#include "basilhall/gateway/ledger_snapshot.h"

#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/record_codec.h"
#include "basilhall/store/envelope.h"

namespace basilhall::gateway
{

std::string encodeLedger(const LedgerSnapshot &snapshot)
{
    wire::LedgerSnapshot message;
    message.set_incarnation(snapshot.incarnation.value());
    message.set_batch(snapshot.batch);
    message.set_host(snapshot.host.value());
    for (const auto &[incarnation, report] : snapshot.spends) {
        *message.add_spends() = toRecord(incarnation, report);
    }
    message.set_has_turn_index(snapshot.hasTurnIndex);
    for (const IndexedTurn &turn : snapshot.turns) {
        *message.add_turns() = toWire(turn);
    }
    for (const resumption::StreamOrigin &origin : snapshot.streams) {
        *message.add_streams() = toRecord(origin);
    }
    message.set_first_batch(snapshot.firstBatch);
    message.set_indexed_batch(snapshot.indexedBatch);
    return store::sealEnvelope(message.SerializeAsString());
}

Result<LedgerSnapshot> decodeLedger(const store::ObjectKey &key, std::string_view data)
{
    BOOST_OUTCOME_TRY(const std::string_view payload, store::openEnvelope(key, data));
    wire::LedgerSnapshot message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))
        || message.incarnation() != key.name) {
        return store::corruptObject(key,
                                    "does not contain the ledger of the incarnation in its name");
    }
    LedgerSnapshot snapshot;
    snapshot.incarnation = Incarnation(message.incarnation());
    snapshot.batch = message.batch();
    snapshot.host = HostName(message.host());
    for (const journal::ProgramSpend &spend : message.spends()) {
        snapshot.spends.emplace_back(Incarnation(spend.incarnation()), fromRecord(spend));
    }
    snapshot.hasTurnIndex = message.has_turn_index();
    for (const wire::StoredTurn &turn : message.turns()) {
        snapshot.turns.push_back(fromWire(snapshot.incarnation, turn));
    }
    for (const journal::StreamBegun &record : message.streams()) {
        snapshot.streams.push_back(fromRecord(record));
    }
    snapshot.firstBatch = message.first_batch();
    snapshot.indexedBatch = message.indexed_batch();
    return snapshot;
}

} // namespace basilhall::gateway
