// Makes turns and spending durable in the platform's object API and looks up turns of other
// gateways.
//
//     TurnKeeper keeper(executor, access, state, log, registry);
//     Result<void> loaded = co_await keeper.reader().loadLedgers();
//     keeper.setLoaded();
//     Result<void> kept = co_await keeper.keep(turn, 2s);
//     Result<std::string> prompt = co_await keeper.prompt(previous, team, input);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/store_access.h"
#include "basilhall/gateway/turn_index.h"
#include "basilhall/journal/record.pb.h"
#include "basilhall/logging/log.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basilhall::metrics
{
class Registry;
}

namespace basilhall::gateway
{

class JournalReader;

// Result of a search for a turn at the peers.
enum class TurnSearch {
    Found,
    // All peers answered, and this gateway or one of them knows all turns: the turn does not exist.
    Unknown,
    // All peers answered, but earlier turns may exist only in the journals.
    UnknownToPeers,
    // A holder that knows all turns does not have it; the other peers were not asked.
    UnknownToHolders,
    // At least one peer did not answer.
    Incomplete,
};

// The peers that are searched for a turn.
enum class SearchScope { Holders, AllPeers };

// Result of passing records to the gateway that writes for several others.
enum class CommitOutcome {
    Durable,
    // This gateway has to write the records itself.
    WriteLocally,
    // The writer refused them or did not answer in time; they may still become durable.
    Failed,
};

// Not thread-safe: use from its executor. `state` must outlive it.
class TurnKeeper
{
public:
    // Passes records to a peer that can reach the object API; true once they are durable.
    using Relay = std::function<boost::asio::awaitable<bool>(std::vector<journal::Record>)>;
    // Passes records to the gateway that writes for several others.
    using Commit =
        std::function<boost::asio::awaitable<CommitOutcome>(std::vector<journal::Record>)>;
    // Tells another gateway what the program has spent here; true once it knows.
    using TellSpending = std::function<boost::asio::awaitable<bool>(ProgramId)>;
    // Called for each turn that this process keeps, before the turn is durable.
    using Announce = std::function<void(const journal::TurnKept &)>;

    // Searches a turn at the peers; see PeerMesh::findTurn.
    using SearchPeers =
        std::function<boost::asio::awaitable<TurnSearch>(turns::TurnId, SearchScope)>;

    TurnKeeper(const boost::asio::any_io_executor &executor, StoreAccess access, HostName host,
               FleetState &state, logging::Log log, metrics::Registry &registry);
    ~TurnKeeper();
    TurnKeeper(const TurnKeeper &) = delete;
    TurnKeeper &operator=(const TurnKeeper &) = delete;

    void setRelay(Relay relay);
    void setCommit(Commit commit);
    void setAnnounce(Announce announce);
    void setTellSpending(TellSpending tellSpending);
    void setSearchPeers(SearchPeers searchPeers);
    // True if this process has kept a turn.
    bool hasKeptTurns() const;
    // Number of the last durable batch of this gateway's journal.
    std::uint64_t durableBatch() const;
    // Call once turns can be served: this gateway or a holder knows all earlier spending.
    void setLoaded();
    // Call once this gateway has loaded all earlier spending from a peer or from the object API.
    void setLedgerKnown();
    bool knowsLedger() const;
    // The turns in the batches of this journal that became durable since the last call of
    // takeStoredTurns().
    const std::vector<IndexedTurn> &storedTurns() const;
    // Returns them and begins anew.
    std::vector<IndexedTurn> takeStoredTurns();
    // The reader of the ledgers and journals of all gateways.
    JournalReader &reader();
    // Writes the ledger of this gateway if its journal has grown since the last one. The first
    // ledger is written before the first batch.
    void saveLedger();
    // True if the last ledger was written long enough ago for its size; see LedgerSchedule.
    bool isLedgerDue() const;

    // False while so much content waits to become durable that a further turn would have to wait
    // for long with its content in memory.
    bool acceptsTurns() const;
    // Makes the turn durable. StoreUnavailable after `timeout`; the turn may still become durable.
    boost::asio::awaitable<Result<void>> keep(turns::KeptTurn turn, Duration timeout);
    // Makes a record durable that covers what the program has spent and has in flight. Fails at
    // once while neither the object API nor a peer accepts records.
    boost::asio::awaitable<Result<void>> cover(ProgramId program, Duration timeout);
    // Call it before a turn of this home ends. Makes a record durable that covers the turn or, if
    // that is not possible in time, tells another holder, so that the loss of this host does not
    // forget the turn. Returns why neither was possible.
    boost::asio::awaitable<Result<void>> coverEnd(ProgramId program, Duration timeout);
    // The same as cover() in the background, so that the next turn of the program does not have to
    // wait.
    void coverSoon(const ProgramId &program);
    // Writes new records of programs whose durable record counts too much; call it periodically.
    void coverOvercounted();
    // Adds where a stream began to the journal of this gateway, without waiting for it.
    void recordStream(const resumption::StreamOrigin &origin);
    // Returns false, and counts it, while records of peers would not become durable soon: the
    // object API does not answer or fails, or too many records wait.
    bool admitPeerRecords();
    // Makes the records of a peer durable.
    boost::asio::awaitable<Result<void>> keepForPeer(std::vector<journal::Record> records,
                                                     Duration timeout);

    // Returns the prompt of a turn; searches the peers and the object API for turns that are not
    // known here. NotFound only if the turn certainly does not exist.
    boost::asio::awaitable<Result<std::string>> prompt(turns::TurnId previous, TeamName team,
                                                       std::string input);

    // False until setLoaded(): turns and budgets cannot be served yet.
    bool isLoaded() const;
    // How long the object API has failed to accept records, here or at the gateways that write for
    // this one; zero if it accepts them.
    Duration storeFailingFor() const;
    // How long the calls of this gateway to the object API have been failing.
    Duration ownCallsFailingFor() const;
    // The last call that showed this failure; nullopt if the object API accepts records.
    std::optional<Instant> lastStoreFailure() const;
    // False while neither the object API nor a peer accepts records.
    bool canPersist() const;
    // Adds a turn that a peer sent.
    void addTurn(const journal::TurnKept &turn);
    // Drops what is no longer kept, also from the object API if `receivesAllTurns`: otherwise a
    // turn that continues an expired one may be unknown here. Only one gateway passes the live
    // incarnations: it also removes the objects of all others. The other gateways pass nothing.
    void expire(bool receivesAllTurns, const std::optional<std::set<Incarnation>> &live);
    // Size of the records of this gateway's journal that are not durable yet, and when the oldest
    // of them was accepted.
    std::size_t pendingBytes() const;
    std::optional<Instant> oldestPendingSince() const;
    // True if no record of this gateway is waiting to become durable, here or at another writer.
    bool isIdle() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
