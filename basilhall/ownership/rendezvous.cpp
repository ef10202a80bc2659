#include "basilhall/ownership/rendezvous.h"

#include "basilhall/ownership/internal/stable_hash.h"

namespace basilhall::ownership
{

namespace
{

struct WeightedHost {
    std::uint64_t weight = 0;
    const HostName *host = nullptr;

    bool ranksAbove(const WeightedHost &other) const
    {
        if (other.host == nullptr || weight != other.weight) {
            return other.host == nullptr || weight > other.weight;
        }
        return *host < *other.host;
    }
};

std::optional<HostName> hostName(const WeightedHost &weightedHost)
{
    if (weightedHost.host == nullptr) {
        return std::nullopt;
    }
    return *weightedHost.host;
}

} // namespace

RendezvousPick rendezvousPick(ShardId shard, const std::vector<HostName> &hosts)
{
    const std::uint64_t shardHash = internal::mixBits(shard + 1);
    WeightedHost best;
    WeightedHost second;
    for (const HostName &host : hosts) {
        const WeightedHost candidate{
            internal::mixBits(internal::stableHash(host.value()) ^ shardHash), &host};
        if (candidate.ranksAbove(best)) {
            second = best;
            best = candidate;
        } else if (candidate.ranksAbove(second)) {
            second = candidate;
        }
    }
    return {hostName(best), hostName(second)};
}

} // namespace basilhall::ownership
