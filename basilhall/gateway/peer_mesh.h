// Connects a gateway to all others: each sends its changes of state to every subscriber.
//
//     PeerMesh mesh(executor, self, state, keeper, log, onDocument, onMember, refreshMembers);
//     mesh.setMembers(members);
//     mesh.announce(turn);
//     mesh.publish(document);
#pragma once

#include "basilhall/gateway/document.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/member.h"
#include "basilhall/gateway/poll_slot.h"
#include "basilhall/gateway/turn_keeper.h"
#include "basilhall/logging/log.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basilhall::gateway
{

// Not thread-safe: use from its executor. The references must outlive it.
class PeerMesh
{
public:
    // Receives a document that was fetched from a peer.
    using DocumentHandler = std::function<void(const Document &)>;

    // Receives the registration of a gateway that has just subscribed.
    using MemberHandler = std::function<void(const Member &)>;

    // Reads the registrations of all gateways and passes them to setMembers().
    using RefreshMembers = std::function<boost::asio::awaitable<Result<void>>()>;

    // Listens on the address of `self`; port 0 selects a free port.
    PeerMesh(const boost::asio::any_io_executor &executor, Member self, FleetState &state,
             TurnKeeper &keeper, logging::Log log, DocumentHandler onDocument,
             MemberHandler onMember, RefreshMembers refreshMembers);
    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    // This gateway, with the address that it listens on.
    const Member &member() const;
    // Connects to the members and closes the connections to others.
    void setMembers(const std::vector<Member> &members);
    // Returns the members that have sent no update for longer than `silence`.
    std::vector<Member> silentMembers(Duration silence) const;
    // Number of reachable members that precede this gateway, holders first, then by host name.
    std::size_t reachableBefore() const;
    // Number of members other than this one.
    std::size_t memberCount() const;
    // True if this gateway has the highest CPU limit of its failure domain; the host name decides
    // between equal ones. Such a gateway is a holder: it stores the turns of all gateways and
    // answers for those that do not.
    bool isHolder() const;
    std::size_t holderCount() const;
    // Number of holders whose host name is sorted before that of this gateway.
    std::size_t holderRank() const;
    // True if the gateway receives the updates of this one.
    bool hasSubscriber(const Incarnation &incarnation) const;
    // Number of other members whose updates arrive in time.
    std::size_t reachableCount() const;
    // Returns the incarnations of all members, including this one.
    std::set<Incarnation> liveIncarnations() const;

    // Sends a turn to all holders immediately. Those outside its allowed regions only learn that it
    // exists.
    void announce(const journal::TurnKept &turn);
    // Tells the gateways that a caller may come back to where its stream began, and the one that
    // writes for this gateway, or adds it to the local journal.
    void tellOrigin(const resumption::StreamOrigin &origin);
    // Asks the gateways that were told, and the holders, where a stream began. The number of
    // requests grows with the failure domains only. nullopt if none knows.
    boost::asio::awaitable<std::optional<resumption::StreamOrigin>> findOrigin(CallId attempt);
    // Tells holders what this gateway has spent for a program and has in flight. True once one of
    // them knows; false if none answers in time.
    boost::asio::awaitable<bool> tellSpending(ProgramId program);
    // The gateways that are told what a stream of a kept turn says, among those whose failure
    // domains are in the allowed regions; all if there are none.
    std::vector<HostName> outputKeepers(const CallId &stream,
                                        const std::vector<std::string> &allowedRegions) const;
    // The gateways that may have been told.
    std::vector<HostName> askedForOutput(const CallId &stream) const;
    // Offers a document to the peers, which fetch it if it is newer than theirs. Ignored if this
    // gateway already offers a version that is not older.
    void publish(Document document);
    // True if all other members state that they have at least this version of a document.
    bool isKnownToAll(DocumentKind kind, std::uint64_t version) const;
    // True if this gateway should watch the object API: fewer than kWatchersPerDomain reachable
    // members of its failure domain that precede it in rank do so.
    bool shouldWatchStore() const;
    // True if a gateway that precedes this one in rank is registered for each watcher of the
    // failure domain, whether it is reachable or not.
    bool isBehindWatchers() const;
    // States whether this gateway receives all changes from the object API.
    void setWatchingStore(bool isWatching);
    // Number of gateways that watch the object API, including this one, and how many of them are
    // sorted before it.
    FleetPosition watcherPosition() const;
    // Sends the pending changes of the state. The owner calls it every updateInterval().
    void flush();
    // Time between two updates to a subscriber, sent even without changes. Grows with the number of
    // members up to a limit, to bound the load of each.
    Duration updateInterval() const;

    // Tells the peers that this gateway has ended, and waits for up to `timeout` until they were
    // sent all updates. From then on, it admits no turn and accepts no record of peers. Call it
    // only once all records are durable: peers do not read the journals because of its loss.
    boost::asio::awaitable<void> announceEnd(Duration timeout);

    // Requests admission of the turn from the home of its program; assigns a new home if the home
    // is lost. Elsewhere if the home has changed: call BudgetLedger::admit() again. Unavailable if
    // the home does not answer.
    boost::asio::awaitable<Result<turns::Admission>> askHome(turns::TurnBudget turn);

    // Searches the members for a turn and its chain, and adds the found turns to the keeper. The
    // time does not depend on the number of members.
    boost::asio::awaitable<TurnSearch> findTurn(turns::TurnId id, SearchScope scope);
    bool isConnectedToAll() const;
    // True if this gateway is a holder and every connected member sends it the turns that it keeps.
    bool isSubscribedToTurns() const;
    // True if this gateway is a holder and every member is connected and sends its turns.
    bool receivesAllTurns() const;
    // Returns this gateway and the connected ones.
    std::map<HostName, Incarnation> runningGateways() const;
    // True if a connected holder knows all earlier spending, so that it can be the home of
    // programs.
    bool hasHolderWithLedger() const;
    // Fetches the spending of all gateways from a holder that knows it; false if there is none or
    // none answers.
    boost::asio::awaitable<bool> fetchLedger();
    // Passes the records to the gateway that writes for the fleet or the failure domain.
    // WriteLocally if that is this gateway, or if no writer may hold a turn among the records.
    boost::asio::awaitable<CommitOutcome> commit(std::vector<journal::Record> records);
    // Asks up to kMaxRelayPeers reachable members, one after the other, to make the records
    // durable. Asks only those that may hold all turns among them.
    boost::asio::awaitable<bool> relay(std::vector<journal::Record> records);

    // Sends one request of peer_requests.h to a member, and returns the reply if it arrives within
    // `timeout`.
    boost::asio::awaitable<std::optional<std::string>>
    request(HostName peer, std::string method, std::string message, Duration timeout);

    void close();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
