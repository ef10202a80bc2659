// Sends a request to a peer process that replies with a single message.
//
//     const Result<std::string> reply = co_await askPeer(client, peer, "/ping", request, 800ms);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/transport/stream_client.h"

#include <boost/asio/awaitable.hpp>
#include <string>

namespace basilhall::entry
{

// Returns the first reply. `timeout` applies to connecting and to waiting for the reply separately.
// Returns DeadlineExceeded if the reply takes longer, and ConnectionLost if the peer ends the
// stream without a reply.
boost::asio::awaitable<Result<std::string>> askPeer(transport::StreamClient &client, Address peer,
                                                    std::string method, std::string request,
                                                    Duration timeout);

} // namespace basilhall::entry
