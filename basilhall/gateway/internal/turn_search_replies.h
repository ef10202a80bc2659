// What the peers replied to the search for a turn that none of them has, and what follows from it.
//
//     TurnSearchReplies replies(self, askedCount);
//     replies.add(peer, isComplete, listedByPeer);
//     const TurnSearch result = replies.verdict();
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/gateway/turn_keeper.h"

#include <cstddef>
#include <optional>
#include <set>

namespace basilhall::gateway
{

// Not thread-safe.
class TurnSearchReplies
{
public:
    // `asked` peers are asked.
    TurnSearchReplies(const Incarnation &self, std::size_t asked);

    // Adds the reply of a peer. `isComplete` if it knows all turns of the gateways in `listed`;
    // these are empty if it is no holder.
    void add(const Incarnation &peer, bool isComplete, const std::set<Incarnation> &listed);
    // This gateway knows all turns of its members.
    void setComplete();

    bool isComplete() const { return m_completeHolder.has_value(); }
    // The first holder that knows all turns of its members; empty if none does.
    Incarnation completeHolder() const { return m_completeHolder.value_or(Incarnation()); }
    std::size_t missing() const { return m_asked + 1 - m_replied.size(); }
    // True if every gateway that a holder lists has replied. A turn of another one may still be on
    // its way to the holder.
    bool includeAllListed() const;
    TurnSearch verdict() const;

private:
    Incarnation m_self;
    std::size_t m_asked;
    std::optional<Incarnation> m_completeHolder;
    std::set<Incarnation> m_replied;
    std::set<Incarnation> m_listed;
};

} // namespace basilhall::gateway
