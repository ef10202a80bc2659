#include "basilhall/entry/routing_view.h"

#include "basilhall/entry/team_slice.h"
#include "basilhall/ownership/shard_id.h"

namespace basilhall::entry
{

namespace
{

const ShardOwner *ownerOfShard(const RoutingView &view, std::uint32_t shard)
{
    return shard < view.owners.size() ? &view.owners[shard] : nullptr;
}

} // namespace

const ShardOwner *RoutingView::ownerOf(const ProgramId &program) const
{
    if (manifest == nullptr) {
        return nullptr;
    }
    return ownerOfShard(*this, ownership::shardOf(program, manifest->shardCount()));
}

const ShardOwner *RoutingView::ownerOf(const limit::SliceKey &slice) const
{
    if (manifest == nullptr) {
        return nullptr;
    }
    return ownerOfShard(*this, shardOfSlice(slice, manifest->shardCount()));
}

} // namespace basilhall::entry
