#include "basilhall/ownership/assignment.h"

#include <algorithm>
#include <set>

namespace basilhall::ownership
{

using membership::HostState;

Assignment::Assignment(HostName self, std::uint32_t shardCount)
    : m_self(std::move(self))
    , m_picks(shardCount)
{
}

void Assignment::update(const std::vector<membership::EntryHost> &hosts, bool leaving)
{
    m_leaving = leaving;
    std::vector<HostName> candidates;
    for (const membership::EntryHost &host : hosts) {
        if (host.state == HostState::Live || host.state == HostState::Suspect) {
            candidates.push_back(host.host);
        }
    }
    if (!leaving) {
        candidates.push_back(m_self);
    }
    std::sort(candidates.begin(), candidates.end());
    if (candidates != m_candidates) {
        m_candidates = std::move(candidates);
        recompute();
    }
}

void Assignment::recompute()
{
    m_preferredShards.clear();
    for (ShardId shard = 0; shard < m_picks.size(); ++shard) {
        m_picks[shard] = rendezvousPick(shard, m_candidates);
        if (m_picks[shard].first == m_self) {
            m_preferredShards.push_back(shard);
        }
    }
}

std::vector<HostName> Assignment::watchedOwners(const ShardTable &table) const
{
    std::set<HostName> owners;
    for (const auto &[shard, view] : table.views()) {
        const HostName owner(view.state.owner_host());
        const RendezvousPick &pick = m_picks[shard];
        const bool isNext = pick.first == owner ? pick.second == m_self : pick.first == m_self;
        if (isNext && !owner.isEmpty() && owner != m_self) {
            owners.insert(owner);
        }
    }
    return {owners.begin(), owners.end()};
}

} // namespace basilhall::ownership
