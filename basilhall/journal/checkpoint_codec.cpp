#include "basilhall/journal/checkpoint_codec.h"

#include "basilhall/journal/batch_codec.h"
#include "basilhall/store/envelope.h"

namespace basilhall::journal
{

store::ObjectKey checkpointKey(const CheckpointPartId &place)
{
    return {kCheckpointKind,
            std::to_string(place.shard) + "." + std::to_string(place.epoch) + "."
                + std::to_string(place.number) + "." + std::to_string(place.part)};
}

CheckpointPart makeCheckpointPart(const CheckpointPartId &place)
{
    CheckpointPart part;
    part.set_format_version(kFormatVersion);
    part.set_shard(place.shard);
    part.set_epoch(place.epoch);
    part.set_number(place.number);
    part.set_part(place.part);
    return part;
}

std::string encodeCheckpointPart(const CheckpointPart &part)
{
    return store::sealEnvelope(part.SerializeAsString());
}

Result<CheckpointPart> decodeCheckpointPart(const store::ObjectKey &key, std::string_view data)
{
    BOOST_OUTCOME_TRY(const std::string_view payload, store::openEnvelope(key, data));
    CheckpointPart part;
    if (!part.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return store::corruptObject(key, "does not hold a part of a checkpoint");
    }
    if (part.format_version() > kFormatVersion) {
        return store::corruptObject(key, "has a newer format");
    }
    if (key != checkpointKey({part.shard(), part.epoch(), part.number(), part.part()})) {
        return store::corruptObject(key, "holds a part that belongs to another key");
    }
    return part;
}

} // namespace basilhall::journal
