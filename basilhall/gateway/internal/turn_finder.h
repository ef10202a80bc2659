// Searches the peers for a kept turn, holders first. Peers that do not answer prolong a search by a
// few request time limits at most, however many they are.
//
//     TurnFinder finder(executor, self, sources, log);
//     const TurnSearch result = co_await finder.find(id, SearchScope::AllPeers);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/gateway/internal/turn_search_stages.h"
#include "basilhall/gateway/turn_keeper.h"
#include "basilhall/logging/log.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace basilhall::gateway
{

// Not thread-safe: use from its executor.
class TurnFinder
{
public:
    struct Reply {
        // The peer sent the turn and its chain, which were added to the local table.
        bool isFound = false;
        // The peer knows all turns of the gateways in `listed`; these are empty if it is no holder.
        bool isComplete = false;
        std::set<Incarnation> listed;
    };

    struct Sources {
        std::function<std::vector<SearchedPeer>()> peers;
        // Asks a peer, which reads journals if `mayReadJournals`. Must end within a time limit;
        // nullopt if the peer did not answer.
        std::function<boost::asio::awaitable<std::optional<Reply>>(
            Incarnation peer, turns::TurnId id, bool mayReadJournals)>
            ask;
        // Reads journals if necessary; true if this gateway knows all turns of its members.
        std::function<boost::asio::awaitable<bool>()> confirmAllTurns;
        std::function<bool(const turns::TurnId &)> hasWholeChain;
    };

    TurnFinder(const boost::asio::any_io_executor &executor, Incarnation self, Sources sources,
               logging::Log log);

    // Shares the search of other requests for the turn, unless it began before this call and did
    // not find the turn.
    boost::asio::awaitable<TurnSearch> find(turns::TurnId id, SearchScope scope);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
