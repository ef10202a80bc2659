// Computes which host should own each shard, by rendezvous hashing over the hosts that accept new
// work.
//
//     Assignment assignment(HostName("entry-1"), 64);
//     assignment.update(hosts, false);
//     for (ShardId shard : assignment.preferredShards()) { ... }
#pragma once

#include "basilhall/membership/entry_host.h"
#include "basilhall/ownership/rendezvous.h"
#include "basilhall/ownership/shard_table.h"

#include <vector>

namespace basilhall::ownership
{

// Not thread-safe. The assignment is recomputed only when the set of candidate hosts changes. A
// recomputation costs one hash per shard and host.
class Assignment
{
public:
    Assignment(HostName self, std::uint32_t shardCount);

    // Sets the other hosts. The candidates are the live and suspect ones, and this host unless it
    // is leaving.
    void update(const std::vector<membership::EntryHost> &hosts, bool leaving);

    const RendezvousPick &pick(ShardId shard) const { return m_picks[shard]; }
    bool isLeaving() const { return m_leaving; }
    // Shards for which this host is the first choice.
    const std::vector<ShardId> &preferredShards() const { return m_preferredShards; }

    // Returns the owners whose shards are assigned to this host if the owner fails.
    std::vector<HostName> watchedOwners(const ShardTable &table) const;

private:
    void recompute();

    HostName m_self;
    bool m_leaving = false;
    std::vector<HostName> m_candidates;
    std::vector<RendezvousPick> m_picks;
    std::vector<ShardId> m_preferredShards;
};

} // namespace basilhall::ownership
