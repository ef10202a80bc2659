// One HTTP request that a server received, and the response to it.
//
//     (void)co_await exchange->beginStream(200, headers);
//     (void)co_await exchange->write("part");
//     (void)co_await exchange->endStream();
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/http/message.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace basilhall::http
{

// Use only from the executor that the handler runs on. Respond either with respond() or with
// beginStream(), any number of write() calls and endStream().
class Exchange
{
public:
    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;
    // IP address of the client, for logs.
    virtual std::string clientAddress() const = 0;
    virtual boost::asio::awaitable<Result<void>> respond(Response response) = 0;
    // Sends the status and headers of a chunked response.
    virtual boost::asio::awaitable<Result<void>> beginStream(int status, Headers headers) = 0;
    // Suspends until the bytes are handed to the socket, so that a slow reader delays only its own
    // request. ConnectionLost if the client has disconnected.
    virtual boost::asio::awaitable<Result<void>> write(std::string bytes) = 0;
    virtual boost::asio::awaitable<Result<void>> endStream() = 0;
    // Calls `handler` once when the client closes its connection before the response is complete.
    virtual void onClientGone(std::function<void()> handler) = 0;
    // Closes the connection without completing the response, so that the client sees it fail.
    virtual void abort() = 0;
};

} // namespace basilhall::http
