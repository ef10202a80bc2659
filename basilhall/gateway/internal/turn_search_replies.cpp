#include "basilhall/gateway/internal/turn_search_replies.h"

#include <algorithm>

namespace basilhall::gateway
{

TurnSearchReplies::TurnSearchReplies(const Incarnation &self, std::size_t asked)
    : m_self(self)
    , m_asked(asked)
    , m_replied{self}
{
}

void TurnSearchReplies::add(const Incarnation &peer, bool isComplete,
                            const std::set<Incarnation> &listed)
{
    m_replied.insert(peer);
    m_listed.insert(listed.begin(), listed.end());
    if (isComplete && !m_completeHolder) {
        m_completeHolder = peer;
    }
}

void TurnSearchReplies::setComplete()
{
    m_completeHolder = m_self;
}

bool TurnSearchReplies::includeAllListed() const
{
    return std::includes(m_replied.begin(), m_replied.end(), m_listed.begin(), m_listed.end());
}

TurnSearch TurnSearchReplies::verdict() const
{
    if (missing() > 0 || !includeAllListed()) {
        return TurnSearch::Incomplete;
    }
    return isComplete() ? TurnSearch::Unknown : TurnSearch::UnknownToPeers;
}

} // namespace basilhall::gateway
