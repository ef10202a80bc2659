// Passes records to gateways that write them to their journals.
//
//     RecordCommits commits{call, log};
//     std::string request = RecordCommits::encode(records, announcedTo);
//     const CommitOutcome outcome = co_await commits.commit(writers, request);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/gateway/internal/peer_call.h"
#include "basilhall/gateway/turn_keeper.h"
#include "basilhall/journal/record.pb.h"
#include "basilhall/logging/log.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace basilhall::gateway
{

struct Peer;

// Not thread-safe. Must outlive its calls.
class RecordCommits
{
public:
    RecordCommits(PeerCall call, logging::Log log);

    // Returns the request of a gateway that has sent the turns to these incarnations.
    static std::string encode(std::vector<journal::Record> records,
                              const std::set<Incarnation> &announcedTo);
    // Asks the writers in this order; nullptr stands for this gateway. Those that have too many
    // records waiting are left out for a moment, and are no failure.
    boost::asio::awaitable<CommitOutcome> commit(std::vector<std::shared_ptr<Peer>> writers,
                                                 std::string request);
    // Asks one peer after the other, and busy ones once more after a pause; true once one has made
    // the records durable.
    boost::asio::awaitable<bool> relay(std::vector<std::shared_ptr<Peer>> peers,
                                       std::string request);

private:
    enum class Outcome { Durable, Busy, Failed };

    boost::asio::awaitable<Outcome> keep(Peer &peer, std::string request, Duration timeout);

    PeerCall m_call;
    logging::Log m_log;
};

} // namespace basilhall::gateway
