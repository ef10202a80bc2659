// Answers the requests of peers: to keep records, to admit a turn, to send a turn, the ledger or
// where a stream began or what it has said, to lend a share of an endpoint's limit.
//
//     PeerRequests requests(state, keeper, log, receivesAllTurns, broadcastChanges, journalMarks,
//                           listedByHolder, forwardTurn, confirmSpending, chooseHome);
//     co_await requests.serve(stream);
#pragma once

#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/internal/home_candidacy.h"
#include "basilhall/gateway/journal_reader.h"
#include "basilhall/gateway/turn_keeper.h"
#include "basilhall/logging/log.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace basilhall::transport
{
class ServerStream;
}

namespace basilhall::gateway
{

// Methods of the request streams.
inline const std::string kKeepMethod = "/keep";
inline const std::string kAdmitMethod = "/admit";
inline const std::string kTurnMethod = "/turn";
inline const std::string kLedgerMethod = "/ledger";
inline const std::string kStreamMethod = "/stream";
inline const std::string kSpendMethod = "/spend";
inline const std::string kLendMethod = "/lend";
inline const std::string kOutputMethod = "/output";
inline const std::string kSaidMethod = "/said";

// Not thread-safe. The references must outlive it.
class PeerRequests
{
public:
    // Journals and the last known batch of each.
    using ForwardTurn =
        std::function<void(const journal::TurnKept &, const std::set<Incarnation> &)>;
    using ConfirmSpending = std::function<boost::asio::awaitable<Result<void>>()>;
    using JournalMarks = std::map<Incarnation, std::uint64_t>;
    using ChooseHome = std::function<std::optional<HomeCandidacy::Announcement>(const ProgramId &)>;

    // `receivesAllTurns` returns true if this process receives every turn that any gateway keeps;
    // `broadcastChanges` sends pending changes to all peers immediately; `journalMarks` returns the
    // last known batch of each journal; `listedByHolder` returns the incarnations of all members,
    // or none if this gateway is no holder; `forwardTurn` sends a turn to the subscribers that are
    // not in the set; `confirmSpending` reads what others may have admitted as the home of programs
    // of this gateway; `chooseHome` returns the process that becomes the home of a program without
    // one, or nullopt if none may.
    PeerRequests(FleetState &state, TurnKeeper &keeper, logging::Log log,
                 std::function<bool()> receivesAllTurns, std::function<void()> broadcastChanges,
                 std::function<JournalMarks()> journalMarks,
                 std::function<std::set<Incarnation>()> listedByHolder, ForwardTurn forwardTurn,
                 ConfirmSpending confirmSpending, ChooseHome chooseHome);

    // Answers one request. Drops malformed and unknown requests with a log line.
    boost::asio::awaitable<void> serve(std::shared_ptr<transport::ServerStream> stream);
    // From now on, admits no turn and accepts no record.
    void end() { m_hasEnded = true; }

private:
    boost::asio::awaitable<std::string> keep(std::string request);
    // `isAbandoned` becomes true once the peer no longer waits for the reply.
    boost::asio::awaitable<std::string> admit(std::string request,
                                              std::shared_ptr<const bool> isAbandoned);
    boost::asio::awaitable<std::string> turn(std::string request);
    // Reads the content of the chain that is stored, but not known; nullptr if there is none, or it
    // cannot be read.
    boost::asio::awaitable<JournalReader::ChainContent> readContent(turns::TurnId id);
    std::string ledger() const;
    std::string spend(const std::string &request);
    std::string stream(const std::string &request) const;
    std::string lend(const std::string &request);
    std::string output(const std::string &request);
    std::string said(const std::string &request);

    FleetState &m_state;
    TurnKeeper &m_keeper;
    logging::Log m_log;
    std::function<bool()> m_receivesAllTurns;
    std::function<void()> m_broadcastChanges;
    std::function<JournalMarks()> m_journalMarks;
    std::function<std::set<Incarnation>()> m_listedByHolder;
    ForwardTurn m_forwardTurn;
    ConfirmSpending m_confirmSpending;
    ChooseHome m_chooseHome;
    bool m_hasEnded = false;
};

} // namespace basilhall::gateway
