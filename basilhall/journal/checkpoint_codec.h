// Keys, encoding and validation of the parts of a checkpoint, which are stored in the objects
// `checkpoints/<shard>.<epoch>.<number>.<part>`.
//
//     const store::ObjectKey key = checkpointKey({3, 7, 120, 0});
//     Result<CheckpointPart> part = decodeCheckpointPart(key, data); // Corrupt names the object
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/journal/record.pb.h"
#include "basilhall/store/object_key.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace basilhall::journal
{

// Kind of the objects that hold checkpoint parts.
inline constexpr const char *kCheckpointKind = "checkpoints";

// Identifies one part of a checkpoint. Immutable value.
struct CheckpointPartId {
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    std::uint32_t part = 0;

    auto operator<=>(const CheckpointPartId &) const = default;
};

// Returns the key of the part that `place` identifies.
store::ObjectKey checkpointKey(const CheckpointPartId &place);

// Returns an empty part with the fields of `place`.
CheckpointPart makeCheckpointPart(const CheckpointPartId &place);

// Returns the content of the object that holds `part`.
std::string encodeCheckpointPart(const CheckpointPart &part);

// Returns the part in `data`. Returns Corrupt, which names `key`, if the content is truncated or
// modified, has a newer format, or belongs to another key.
Result<CheckpointPart> decodeCheckpointPart(const store::ObjectKey &key, std::string_view data);

} // namespace basilhall::journal
