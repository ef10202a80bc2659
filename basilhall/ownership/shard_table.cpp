#include "basilhall/ownership/shard_table.h"

#include "basilhall/store/envelope.h"

#include <charconv>
#include <tuple>

namespace basilhall::ownership
{

namespace
{

std::optional<ShardId> shardOfKey(const store::ObjectKey &key)
{
    ShardId shard = 0;
    const char *end = key.name.data() + key.name.size();
    const auto parsed = std::from_chars(key.name.data(), end, shard);
    if (key.kind != kShardKind || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return shard;
}

auto stateOrder(const ShardState &state)
{
    return std::make_tuple(state.epoch(), state.checkpoint_epoch(), state.checkpoint_number());
}

} // namespace

ShardTable::ShardTable(std::uint32_t shardCount)
    : m_shardCount(shardCount)
{
}

Result<void> ShardTable::apply(const store::Object &object)
{
    if (object.key == shardSetKey()) {
        return applySet(object);
    }
    const std::optional<ShardId> shard = shardOfKey(object.key);
    if (!shard || *shard >= m_shardCount) {
        return store::corruptObject(object.key, "is not a shard of this deployment");
    }
    Result<ShardState> state = decodeShard(object.key, object.data);
    if (!state) {
        m_faults.insert_or_assign(*shard, state.error());
        return state.error();
    }
    m_faults.erase(*shard);
    const View *known = find(*shard);
    const bool isOlder = known != nullptr && stateOrder(state.value()) < stateOrder(known->state);
    const bool isSame = known != nullptr && known->version == object.version;
    if (!isOlder && !isSame) {
        m_views.insert_or_assign(*shard, View{std::move(state.value()), object.version});
        ++m_revision;
    }
    return success();
}

Result<void> ShardTable::applySet(const store::Object &object)
{
    BOOST_OUTCOME_TRY(const std::uint32_t count, decodeShardSet(object.data));
    m_hasOtherShardCount = count != m_shardCount;
    if (m_hasOtherShardCount) {
        return store::corruptObject(object.key,
                                    "was made for " + std::to_string(count) + " shards, not "
                                        + std::to_string(m_shardCount));
    }
    m_isInitialized = true;
    return success();
}

void ShardTable::markMissing(ShardId shard)
{
    m_faults.insert_or_assign(shard, store::corruptObject(shardKey(shard), "is missing"));
    ++m_revision;
}

const ShardTable::View *ShardTable::find(ShardId shard) const
{
    const auto found = m_views.find(shard);
    return found == m_views.end() ? nullptr : &found->second;
}

std::optional<ShardOwner> ShardTable::owner(ShardId shard) const
{
    const View *view = find(shard);
    if (view == nullptr || view->state.owner_incarnation().empty()) {
        return std::nullopt;
    }
    const ShardState &state = view->state;
    const Result<Address> address = parseAddress(state.owner_address());
    return ShardOwner{Incarnation(state.owner_incarnation()), HostName(state.owner_host()),
                      address ? address.value() : Address(), state.epoch()};
}

} // namespace basilhall::ownership
