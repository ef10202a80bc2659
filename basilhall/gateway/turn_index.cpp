#include "basilhall/gateway/turn_index.h"

#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/store/envelope.h"

namespace basilhall::gateway
{

store::ObjectKey turnIndexKey(const Incarnation &incarnation, journal::BatchNumber lastBatch)
{
    return {kTurnIndexKind, journal::batchKey(incarnation, lastBatch).name};
}

std::string encodeTurnIndexPart(const TurnIndexPart &part)
{
    wire::TurnIndexPart message;
    message.set_incarnation(part.incarnation.value());
    message.set_last_batch(part.lastBatch);
    for (const IndexedTurn &turn : part.turns) {
        *message.add_turns() = toWire(turn);
    }
    return store::sealEnvelope(message.SerializeAsString());
}

Result<TurnIndexPart> decodeTurnIndexPart(const store::ObjectKey &key, std::string_view data)
{
    BOOST_OUTCOME_TRY(const std::string_view payload, store::openEnvelope(key, data));
    wire::TurnIndexPart message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))
        || turnIndexKey(Incarnation(message.incarnation()), message.last_batch()) != key) {
        return store::corruptObject(key, "does not contain the part of an index in its name");
    }
    TurnIndexPart part{Incarnation(message.incarnation()), message.last_batch(), {}};
    for (const wire::StoredTurn &turn : message.turns()) {
        part.turns.push_back(fromWire(part.incarnation, turn));
    }
    return part;
}

wire::StoredTurn toWire(const IndexedTurn &turn)
{
    wire::StoredTurn message;
    message.set_turn_id(turn.id.value());
    message.set_previous_turn_id(turn.stored.previous.value());
    message.set_batch(turn.stored.batch);
    message.set_kept_until_wall_ms(turn.stored.keptUntil);
    message.mutable_allowed_regions()->Assign(turn.stored.allowedRegions.begin(),
                                              turn.stored.allowedRegions.end());
    return message;
}

IndexedTurn fromWire(const Incarnation &journal, const wire::StoredTurn &turn)
{
    return {turns::TurnId(turn.turn_id()),
            {journal,
             turn.batch(),
             turns::TurnId(turn.previous_turn_id()),
             turn.kept_until_wall_ms(),
             {turn.allowed_regions().begin(), turn.allowed_regions().end()}}};
}

} // namespace basilhall::gateway
