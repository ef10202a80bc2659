// Answers what peers ask: to keep records, to admit a turn, for a turn.
//
//     PeerRequests requests(self, state, keeper, log, hearsAllTurns);
//     co_await requests.serve(stream);
#pragma once

#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/turn_keeper.h"
#include "basilhall/logging/log.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace basilhall::transport
{
class ServerStream;
}

namespace basilhall::gateway
{

// Methods of the streams.
inline const std::string kKeepMethod = "/keep";
inline const std::string kAdmitMethod = "/admit";
inline const std::string kTurnMethod = "/turn";
inline const std::string kLedgerMethod = "/ledger";

// Not thread-safe. The references must outlive it.
class PeerRequests
{
public:
    // Journals and the last batch of each that was heard.
    using JournalMarks = std::map<Incarnation, std::uint64_t>;

    // `hearsAllTurns` is true if this process hears each turn that any gateway keeps; `sendNews`
    // tells all peers at once what has changed.
    PeerRequests(FleetState &state, TurnKeeper &keeper, logging::Log log,
                 std::function<bool()> hearsAllTurns, std::function<void()> sendNews,
                 std::function<JournalMarks()> journalMarks);

    // Answers one request; one that is malformed or unknown is dropped with a log line.
    boost::asio::awaitable<void> serve(std::shared_ptr<transport::ServerStream> stream);

private:
    boost::asio::awaitable<std::string> keep(std::string request);
    boost::asio::awaitable<std::string> admit(std::string request);
    std::string turn(const std::string &request) const;
    std::string ledger() const;

    FleetState &m_state;
    TurnKeeper &m_keeper;
    logging::Log m_log;
    std::function<bool()> m_hearsAllTurns;
    std::function<void()> m_sendNews;
    std::function<JournalMarks()> m_journalMarks;
};

} // namespace basilhall::gateway
