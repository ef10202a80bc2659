// Reads what gateways have kept in the object API: ledgers and journals.
//
//     JournalReader reader(executor, access, state, log);
//     Result<void> known = co_await reader.loadLedgers();
//     Result<void> read = co_await reader.loadTurns(rank, readers);
//     reader.noteLostPeer(incarnation, 12);
//     Result<void> again = co_await reader.refresh();
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/store_access.h"
#include "basilhall/logging/log.h"
#include "basilhall/store/object_key.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace basilhall::gateway
{

// Not thread-safe: use from its executor. What is read goes to `state`, which must outlive it.
class JournalReader
{
public:
    JournalReader(const boost::asio::any_io_executor &executor, StoreAccess access,
                  FleetState &state, logging::Log log);
    ~JournalReader();
    JournalReader(const JournalReader &) = delete;
    JournalReader &operator=(const JournalReader &) = delete;

    // Reads what all gateways have handed out: their ledgers, and the ends of their journals.
    boost::asio::awaitable<Result<void>> loadLedgers();
    // Reads all journals.
    boost::asio::awaitable<Result<void>> loadTurns();
    // Reads the ends of the journals of lost peers, beginning after the call.
    boost::asio::awaitable<Result<void>> refresh();

    // A peer is gone whose journal up to the batch `heard` is known from the peer itself. Batches
    // that were read one by one count as known too.
    void noteLostPeer(const Incarnation &peer, std::uint64_t heard);
    // The same of a peer that lives: it has told its spending itself, but turns may have been
    // missed.
    void noteMissedTurns(const Incarnation &peer, std::uint64_t heard);
    // True if a journal may hold spending that is not known: no program may get a new home here.
    bool mayMissSpending() const;
    // Journals that hold more than was heard, each with the last batch that was.
    const std::map<Incarnation, std::uint64_t> &lostPeers() const;
    // True once loadTurns() has succeeded.
    bool hasRead() const;
    // True once loadTurns() has begun: what is missed from then on has to be noted.
    bool hasBegunToRead() const;
    // Turns have been missed, or will be: loadTurns() has to run again.
    void forgetRead();
    // True if also the journals of peers that were lost since have been read.
    bool knowsAllTurns() const;

    // Returns at most `limit` objects of journals that nobody needs any longer; see JournalJanitor.
    std::vector<store::ObjectKey> expired(WallMillis now, const std::set<Incarnation> &live,
                                          std::size_t limit);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
