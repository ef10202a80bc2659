#include "basilhall/entry/team_slice.h"

#include "basilhall/ownership/shard_id.h"

#include <cmath>

namespace basilhall::entry
{

namespace
{

// One slice per entry host: deployments run three.
constexpr std::uint32_t kMaxSlices = 3;
constexpr double kMilli = 1000;

limit::Rate rateOf(const manifest::Team &team)
{
    return {static_cast<std::uint64_t>(std::llround(team.requestsPerSecond * kMilli)), team.burst};
}

} // namespace

std::uint32_t sliceCount(const manifest::Team &team)
{
    return limit::slicesFor(rateOf(team), kMaxSlices);
}

std::uint32_t shardOfSlice(const limit::SliceKey &slice, std::uint32_t shardCount)
{
    const std::string name = slice.team.value() + "/" + std::to_string(slice.slice);
    return ownership::shardOf(TeamName(name), shardCount);
}

std::vector<TeamSlice> slicesOfShard(const manifest::Manifest &manifest, std::uint32_t shard)
{
    std::vector<TeamSlice> slices;
    for (const auto &[name, team] : manifest.content().teams) {
        const std::uint32_t count = sliceCount(team);
        for (std::uint32_t i = 0; i < count; ++i) {
            const limit::SliceKey key{name, i};
            if (shardOfSlice(key, manifest.shardCount()) == shard) {
                slices.push_back({key, limit::sliceOf(rateOf(team), i, count)});
            }
        }
    }
    return slices;
}

} // namespace basilhall::entry
