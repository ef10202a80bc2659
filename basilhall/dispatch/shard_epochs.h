// Tracks the highest epoch of each shard that an agent has seen.
//
//     epochs.observe(shard, 5);     // true
//     epochs.isCurrent(shard, 4);   // false
#pragma once

#include <cstdint>
#include <unordered_map>

namespace basilhall::dispatch
{

// Not thread-safe. Memory grows with the number of shards, which is fixed.
class ShardEpochs
{
public:
    // Records `epoch`. Returns false if a higher one was seen before.
    bool observe(std::uint32_t shard, std::uint64_t epoch);
    // Returns true if no higher epoch was seen.
    bool isCurrent(std::uint32_t shard, std::uint64_t epoch) const;

private:
    std::unordered_map<std::uint32_t, std::uint64_t> m_highest;
};

} // namespace basilhall::dispatch
