// A request from a peer process and the stream of replies to it.
//
//     co_await stream->send(reply.SerializeAsString());
//     co_await stream->finish();
#pragma once

#include "basilhall/base/result.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace basilhall::transport
{

// Not thread-safe: use only from the executor that runs the handler.
class ServerStream
{
public:
    virtual ~ServerStream() = default;

    // Path of the stream, such as "/dispatch".
    virtual const std::string &method() const = 0;
    // The complete request message.
    virtual const std::string &request() const = 0;
    // Sends one reply message. Suspends while the flow-control window of the peer is full. Returns
    // ConnectionLost if the connection is closed or the peer has cancelled the stream.
    virtual boost::asio::awaitable<Result<void>> send(std::string message) = 0;
    // Finishes the stream. A stream whose handler returns without calling finish() is reset.
    virtual boost::asio::awaitable<Result<void>> finish() = 0;
    // Calls `handler` once when the peer cancels or the connection breaks, or immediately if that
    // has already happened.
    virtual void onCancelled(std::function<void()> handler) = 0;
};

} // namespace basilhall::transport
