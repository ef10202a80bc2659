// Which gateways are the holders of a fleet: the first of each failure domain in rank.
//
//     HolderRanking ranking;
//     ranking.setMembers({&self, &peer});
//     if (ranking.isHolder(peer)) { ... }
#pragma once

#include "basilhall/gateway/member.h"

#include <map>
#include <vector>

namespace basilhall::gateway
{

// Not thread-safe. setMembers() takes time in proportion to the members, isHolder() does not: it is
// asked several times for each update of each peer.
class HolderRanking
{
public:
    void setMembers(const std::vector<const Member *> &members);
    // True if no member of the failure domain on another host precedes `member`, which does not
    // have to be a member itself.
    bool isHolder(const Member &member) const;
    // True if `a` is preferred to `b` as holder and writer: a higher CPU limit, then the host name.
    static bool outranks(const Member &a, const Member &b);

private:
    std::map<FailureDomain, Member> m_firstOfDomain;
};

} // namespace basilhall::gateway
