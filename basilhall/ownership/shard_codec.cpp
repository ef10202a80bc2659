#include "basilhall/ownership/shard_codec.h"

#include "basilhall/journal/batch_codec.h"
#include "basilhall/store/envelope.h"

namespace basilhall::ownership
{

namespace
{

bool isOpen(const JournalRange &range)
{
    return range.last_number() == 0;
}

// Only the last range may be open, and only if it belongs to the owner.
bool areRangesValid(const ShardState &state)
{
    for (int i = 0; i < state.ranges_size(); ++i) {
        const JournalRange &range = state.ranges(i);
        const bool isOwners =
            i == state.ranges_size() - 1 && range.incarnation() == state.owner_incarnation();
        if (range.first_number() == 0 || range.incarnation().empty()) {
            return false;
        }
        if (isOpen(range) ? !isOwners : range.last_number() < range.first_number()) {
            return false;
        }
    }
    return true;
}

bool isOwnerValid(const ShardState &state)
{
    if (state.owner_incarnation().empty()) {
        return true;
    }
    return state.ranges_size() > 0 && isOpen(state.ranges(state.ranges_size() - 1));
}

} // namespace

store::ObjectKey shardKey(ShardId shard)
{
    return {kShardKind, std::to_string(shard)};
}

std::string encodeShard(const ShardState &state)
{
    return store::sealEnvelope(state.SerializeAsString());
}

Result<ShardState> decodeShard(const store::ObjectKey &key, std::string_view data)
{
    BOOST_OUTCOME_TRY(const std::string_view payload, store::openEnvelope(key, data));
    ShardState state;
    if (!state.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return store::corruptObject(key, "does not hold a shard");
    }
    if (state.format_version() > journal::kFormatVersion) {
        return store::corruptObject(key, "has a newer format");
    }
    if (key != shardKey(state.shard())) {
        return store::corruptObject(key, "holds another shard");
    }
    if (state.epoch() == 0 || !areRangesValid(state) || !isOwnerValid(state)) {
        return store::corruptObject(
            key, "has epoch 0, an invalid journal range or an owner without an open range");
    }
    return state;
}

store::ObjectKey shardSetKey()
{
    return {kShardKind, "all"};
}

std::string encodeShardSet(std::uint32_t count)
{
    journal::ShardSet set;
    set.set_format_version(journal::kFormatVersion);
    set.set_count(count);
    return store::sealEnvelope(set.SerializeAsString());
}

Result<std::uint32_t> decodeShardSet(std::string_view data)
{
    BOOST_OUTCOME_TRY(const std::string_view payload, store::openEnvelope(shardSetKey(), data));
    journal::ShardSet set;
    if (!set.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return store::corruptObject(shardSetKey(), "does not hold a set of shards");
    }
    if (set.format_version() > journal::kFormatVersion) {
        return store::corruptObject(shardSetKey(), "has a newer format");
    }
    return set.count();
}

} // namespace basilhall::ownership
