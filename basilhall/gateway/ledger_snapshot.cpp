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
    LedgerSnapshot snapshot{
        Incarnation(message.incarnation()), message.batch(), {}, HostName(message.host())};
    for (const journal::ProgramSpend &spend : message.spends()) {
        snapshot.spends.emplace_back(Incarnation(spend.incarnation()), fromRecord(spend));
    }
    return snapshot;
}

} // namespace basilhall::gateway
