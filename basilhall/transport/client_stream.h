// A request to a peer process and the stream of its replies.
//
//     while (auto reply = co_await stream->next()) { ... }
#pragma once

#include "basilhall/base/result.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace basilhall::transport
{

// Destroying the stream cancels the request.
class ClientStream
{
public:
    virtual ~ClientStream() = default;

    // Returns the next reply, or std::nullopt after the peer has finished the stream. Returns
    // ConnectionLost if the connection broke or the peer reset the stream before that, with
    // notRun() if the peer cannot have received the complete request.
    virtual boost::asio::awaitable<Result<std::optional<std::string>>> next() = 0;
    // Notifies the peer that the replies are no longer needed. A pending next() returns Cancelled.
    virtual void cancel() = 0;
};

} // namespace basilhall::transport
