// Reads the ledgers, indexes and journals that gateways have written to the object API.
//
//     JournalReader reader(executor, access, state, log);
//     Result<void> known = co_await reader.loadLedgers();
//     Result<void> read = co_await reader.loadTurns(running);
//     Result<void> content = co_await reader.readChain(id);
//     reader.noteLostPeer(incarnation, 12);
//     Result<void> again = co_await reader.refresh();
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/store_access.h"
#include "basilhall/logging/log.h"
#include "basilhall/store/object_key.h"
#include "basilhall/turns/pinned_turns.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace basilhall::gateway
{

// Returns the hosts and incarnations of connected gateways.
using RunningGateways = std::function<std::map<HostName, Incarnation>()>;

// Not thread-safe: use from its executor. Adds what it reads to `state`, which must outlive it.
class JournalReader
{
public:
    JournalReader(const boost::asio::any_io_executor &executor, StoreAccess access,
                  FleetState &state, logging::Log log);
    ~JournalReader();
    JournalReader(const JournalReader &) = delete;
    JournalReader &operator=(const JournalReader &) = delete;

    // Reads the spending of all gateways: their ledgers, and the journal batches after these.
    boost::asio::awaitable<Result<void>> loadLedgers();
    // Reads where all turns are stored: the indexes of all journals, and the journal batches after
    // these. Reads all journals if one has no index. `running` returns the gateways that send their
    // turns to this one; the journals of others become open, unless a later process runs on their
    // host.
    boost::asio::awaitable<Result<void>> loadTurns(RunningGateways running);
    // Keeps the content of a chain in memory, and lets others be read once it is destroyed.
    using ChainContent = std::shared_ptr<const turns::PinnedTurns>;

    // Reads the turns of the chain that ends with `id` whose content is unknown, no other batches.
    // Waits while too much content of other chains is being read. NotFound if it is unknown where
    // one of the turns is stored.
    boost::asio::awaitable<Result<ChainContent>> readChain(turns::TurnId id);
    // Reads the unread batches of the unread and of the open journals. The read starts after the
    // call. Fails at once if the last read has just failed.
    boost::asio::awaitable<Result<void>> refresh();
    // Returns true if all turns that were durable before the call are known. Reads the unread and
    // the open journals for this; false if that is not possible, or before loadTurns().
    boost::asio::awaitable<bool> confirmAllTurns();

    // Records the loss of a peer whose updates cover its journal up to the batch `lastKnown`.
    // Batches read individually count as known, too.
    void noteLostPeer(const Incarnation &peer, std::uint64_t lastKnown);
    // The same for a peer that is still alive: its updates cover its spending, but turns may have
    // been missed.
    void noteMissedTurns(const Incarnation &peer, std::uint64_t lastKnown);
    // Records that a gateway is no longer a member, but may still run and write its journal. The
    // journal becomes open: it is never read to its end for good.
    void noteUnlisted(const Incarnation &peer, const HostName &host, std::uint64_t lastKnown);
    // Records that a gateway is connected and sends its turns from now on: its journal is closed,
    // and those of earlier processes on its host are read once more. Returns the last batch of its
    // journal that was known when it became open, or 0.
    std::uint64_t noteRunning(const HostName &host, const Incarnation &peer);
    // True if the open journals have to be read before their writers remove expired batches, behind
    // which the reader would not find the next ones.
    bool isOpenReadDue() const;
    // True if all turns are known and no journal has to be read to be sure of it.
    bool knowsAllTurns() const;
    bool hasOpenJournals() const;
    // True if a journal may contain unknown spending. This gateway must not become the home of a
    // program then.
    bool mayMissSpending() const;
    // The same for a program whose home was `home`, which may still run and admit turns if its
    // journal is open.
    bool mayMissSpendingOf(const Incarnation &home) const;
    // Returns the journals that may contain unknown batches, each with the last known batch.
    const std::map<Incarnation, std::uint64_t> &unreadJournals() const;
    // True if loadTurns() has succeeded.
    bool hasLoadedTurns() const;
    // True during loadTurns(): turns that are known may be continued by turns that are read later,
    // and must not be dropped.
    bool isLoadingTurns() const;
    // True if loadTurns() has started: turns missed from then on have to be recorded.
    bool hasStartedLoadingTurns() const;
    // Requires another loadTurns(), because turns have been or will be missed.
    void requireReload();
    // Returns at most `limit` objects of journals that are no longer needed; see JournalCleaner.
    std::vector<store::ObjectKey> expired(WallMillis now, const std::set<Incarnation> &live,
                                          std::size_t limit);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
