#include "basilhall/dispatch/shard_epochs.h"

namespace basilhall::dispatch
{

bool ShardEpochs::observe(std::uint32_t shard, std::uint64_t epoch)
{
    auto &highest = m_highest[shard];
    if (epoch < highest) {
        return false;
    }
    highest = epoch;
    return true;
}

bool ShardEpochs::isCurrent(std::uint32_t shard, std::uint64_t epoch) const
{
    const auto found = m_highest.find(shard);
    return found == m_highest.end() || epoch >= found->second;
}

} // namespace basilhall::dispatch
