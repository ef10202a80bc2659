#include "basilhall/gateway/internal/holder_ranking.h"

namespace basilhall::gateway
{

void HolderRanking::setMembers(const std::vector<const Member *> &members)
{
    m_firstOfDomain.clear();
    for (const Member *member : members) {
        const auto [first, isAdded] = m_firstOfDomain.try_emplace(member->failureDomain, *member);
        if (!isAdded && outranks(*member, first->second)) {
            first->second = *member;
        }
    }
}

bool HolderRanking::isHolder(const Member &member) const
{
    const auto first = m_firstOfDomain.find(member.failureDomain);
    return first == m_firstOfDomain.end() || first->second.host == member.host
        || !outranks(first->second, member);
}

bool HolderRanking::outranks(const Member &a, const Member &b)
{
    return a.processorMillis != b.processorMillis ? a.processorMillis > b.processorMillis
                                                  : a.host < b.host;
}

} // namespace basilhall::gateway
