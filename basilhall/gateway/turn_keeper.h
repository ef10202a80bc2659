// Makes turns and spending durable in the platform's object API, and reads back what others kept.
//
//     TurnKeeper keeper(executor, access, state, log, registry);
//     Result<void> loaded = co_await keeper.load();
//     Result<void> kept = co_await keeper.keep(turn, 2s);
//     Result<std::string> prompt = co_await keeper.prompt(previous, team, input);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/store_access.h"
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

// What the peers say of a turn.
enum class TurnSearch {
    Found,
    // All peers answered, and one of them knows all turns.
    Unknown,
    // All peers answered, but turns of before may be in the journals alone.
    UnknownToPeers,
    // A peer did not answer.
    Unsure,
};

// What became of records that were handed to the gateway that writes for several.
enum class CommitOutcome {
    Durable,
    // This gateway is the one that writes.
    OwnTask,
    // It refused them or did not answer in time; they may become durable all the same.
    Failed,
};

// Not thread-safe: use from its executor. `state` must outlive it.
class TurnKeeper
{
public:
    // Hands records to a peer that reaches the object API; true once they are durable there.
    using Relay = std::function<boost::asio::awaitable<bool>(std::vector<journal::Record>)>;
    // Hands records to the gateway that writes for several.
    using Commit =
        std::function<boost::asio::awaitable<CommitOutcome>(std::vector<journal::Record>)>;
    // Called for each turn that this process keeps, before it is durable.
    using Announce = std::function<void(const journal::TurnKept &)>;

    // Asks the peers for a turn, see PeerMesh::findTurn.
    using SearchPeers = std::function<boost::asio::awaitable<TurnSearch>(turns::TurnId)>;

    TurnKeeper(const boost::asio::any_io_executor &executor, StoreAccess access, FleetState &state,
               logging::Log log, metrics::Registry &registry);
    ~TurnKeeper();
    TurnKeeper(const TurnKeeper &) = delete;
    TurnKeeper &operator=(const TurnKeeper &) = delete;

    void setRelay(Relay relay);
    void setCommit(Commit commit);
    void setAnnounce(Announce announce);
    void setSearchPeers(SearchPeers searchPeers);
    // Number of the last own batch that is durable.
    std::uint64_t durableBatch() const;
    // A peer has told all spending that was kept before.
    void setLoaded();
    // Reads what was kept.
    JournalReader &reader();
    // Writes the own ledger if the journal has grown since. The first is written before the first
    // batch.
    void saveLedger();

    // Makes the turn durable. StoreUnavailable after `timeout`; the turn may still become durable
    // later.
    boost::asio::awaitable<Result<void>> keep(turns::KeptTurn turn, Duration timeout);
    // Makes durable what a program has spent and has in flight.
    boost::asio::awaitable<Result<void>> cover(ProgramId program, Duration timeout);
    // The same in the background, so that the program's next turn need not wait.
    void coverSoon(const ProgramId &program);
    // Makes records of a peer durable.
    boost::asio::awaitable<Result<void>> keepFor(std::vector<journal::Record> records,
                                                 Duration timeout);

    // Returns the prompt of a turn; looks in the object API for turns that are not known here.
    // NotFound only if it is sure.
    boost::asio::awaitable<Result<std::string>> prompt(turns::TurnId previous, TeamName team,
                                                       std::string input);

    // False until load() has succeeded: nothing can be said of turns and budgets.
    bool isLoaded() const;
    // How long the object API has refused or not answered; zero if it takes records.
    Duration storeFailingFor() const;
    // False while the object API does not take records and no peer has taken them either.
    bool isKeeping() const;
    // Takes a record that a peer announced or a journal holds.
    void learn(const journal::TurnKept &turn);
    // Drops what is no longer kept, also from the object API. One gateway, which passes those that
    // live, cleans up after those that are gone; the others pass nothing.
    void expire(const std::optional<std::set<Incarnation>> &live);
    // True if nothing waits to become durable.
    bool isIdle() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
