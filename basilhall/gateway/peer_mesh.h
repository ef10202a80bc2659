// Connects a gateway to all others: each sends its news to every subscriber at once.
//
//     PeerMesh mesh(executor, member, listen, state, keeper, log);
//     mesh.setMembers(members);
//     mesh.announce(turn);
//     mesh.publish(document);
#pragma once

#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/member.h"
#include "basilhall/gateway/turn_keeper.h"
#include "basilhall/logging/log.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace basilhall::gateway
{

// A version of the configuration as the platform encodes it.
struct PolicyDocument {
    std::uint64_t version = 0;
    std::string document;

    auto operator<=>(const PolicyDocument &) const = default;
};

// Not thread-safe: use from its executor. The references must outlive it.
class PeerMesh
{
public:
    // Takes a version that a peer has in force.
    using PolicyHandler = std::function<void(const PolicyDocument &)>;

    // Takes a gateway that has just subscribed.
    using MemberHandler = std::function<void(const Member &)>;

    // Listens on the member's address; port 0 takes a free one.
    PeerMesh(const boost::asio::any_io_executor &executor, Member self, FleetState &state,
             TurnKeeper &keeper, logging::Log log, PolicyHandler onPolicy, MemberHandler onMember);
    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    // This gateway, with the address on which it listens.
    const Member &member() const;
    // Connects to the members and drops the connections to others.
    void setMembers(const std::vector<Member> &members);
    // Members that have been silent for longer than `silence`.
    std::vector<HostName> silentMembers(Duration silence) const;
    // Members other than this one, and how many of them are heard.
    std::size_t memberCount() const;
    // Number of members whose name comes before the own one.
    std::size_t rank() const;
    // True if this gateway is the strongest of its failure domain. It then holds the turns of all
    // gateways, for those that do not; all of them together are the holders.
    bool isHolder() const;
    std::size_t holderCount() const;
    // Number of holders whose name comes before the own one.
    std::size_t holderRank() const;
    std::size_t heardCount() const;
    // Of all members and this one.
    std::set<Incarnation> liveIncarnations() const;

    // Sends a turn to all holders at once.
    void announce(const journal::TurnKept &turn);
    // Sends the version in force to all subscribers at once, and to each that subscribes later.
    void publish(PolicyDocument document);
    // Sends what has changed in the state; called by the owner every beat().
    void flush();
    // Time between two updates to a subscriber, also without news. Grows with the members, so that
    // the work of each does not.
    Duration beat() const;

    // Asks the home of the turn's program to admit it; a program whose home is gone gets a new one.
    // Elsewhere if the home has changed: ask the ledger again. Unavailable if it does not answer.
    boost::asio::awaitable<Result<turns::Admission>> askHome(turns::TurnBudget turn);

    // Asks the members for a turn and its chain, which the keeper then knows.
    boost::asio::awaitable<TurnSearch> findTurn(turns::TurnId id);
    bool isConnectedToAll() const;
    // True if every connected member sends this holder the turns that it keeps.
    bool isToldOfTurns() const;
    // Learns all that was spent from a holder that knows it; false if none does or none answers.
    boost::asio::awaitable<bool> learnLedger();
    // Asks the gateway that writes for the fleet or the failure domain to keep the records, if it
    // is not this one.
    boost::asio::awaitable<CommitOutcome> commit(std::vector<journal::Record> records);
    // Asks the heard members one after the other to keep the records.
    boost::asio::awaitable<bool> relay(std::vector<journal::Record> records);

    void close();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
