// Asks peers to lend this gateway unused shares of endpoint limits.
//
//     ShareLender lender(executor, state, ask, log, registry);
//     if (lender.borrow(endpoint, waiting, now)) {
//         co_await lender.pause(50ms);
//     }
//     lender.onSent(endpoint, now);
//
// What to ask for, and what to lend, is decided in placement/share_loans.h; the lender's side of
// the request is in internal/peer_requests.h.
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/logging/log.h"
#include "basilhall/metrics/registry.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basilhall::gateway
{

// Not thread-safe: use from its executor. The references must outlive it.
class ShareLender
{
public:
    // Sends a request to a peer; see PeerMesh::request().
    using Ask = std::function<boost::asio::awaitable<std::optional<std::string>>(
        HostName peer, std::string method, std::string message, Duration timeout)>;
    ShareLender(const boost::asio::any_io_executor &executor, FleetState &state, Ask ask,
                logging::Log log, metrics::Registry &registry);
    ~ShareLender();
    ShareLender(const ShareLender &) = delete;
    ShareLender &operator=(const ShareLender &) = delete;

    // The share of the endpoint's limit is used up, and `waiting` requests wait for it; 0 if one
    // goes to another endpoint instead. Asks peers in the background, if that is of use. Returns
    // true if a question about the endpoint is in progress.
    bool borrow(const fleet::Endpoint &endpoint, std::size_t waiting, Instant now);
    // Returns after `most`, or earlier if a loan for any endpoint arrives or a question ends.
    boost::asio::awaitable<void> pause(Duration most);
    // Call it after Placement::onSent().
    void onSent(const fleet::Endpoint &endpoint, Instant now);

private:
    class Private;
    std::shared_ptr<Private> d;
};

// The same for gateways that may have no lender: `lender` may be nullptr.
boost::asio::awaitable<void> pauseForLoan(ShareLender *lender, Duration most);

} // namespace basilhall::gateway
