// HTTP/1.1 client over Boost.Beast with pooled connections.
//
//     auto response = co_await client.send(address, request, 5s);
//     auto stream = co_await client.open(address, request, 5s);
//     auto part = co_await stream.value()->read(5s);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/http/cancellation.h"
#include "basilhall/http/message.h"
#include "basilhall/http/response_owner.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basilhall::http
{

// A response whose body is read in parts. Destroying it before the body is complete closes the
// connection, which cancels the request on servers that watch for disconnects.
class ResponseStream
{
public:
    virtual ~ResponseStream() = default;

    virtual int status() const = 0;
    virtual const Headers &headers() const = 0;
    // Time at which the connection that the response is read from had been established.
    virtual Instant connectedAt() const = 0;
    // Returns the next bytes of the body, or nullopt once the body is complete. ConnectionLost if
    // the connection broke before that, DeadlineExceeded if no byte arrived within `timeout`.
    virtual boost::asio::awaitable<Result<std::optional<std::string>>> read(Duration timeout) = 0;
    // Closes the connection; a pending read() ends with Cancelled.
    virtual void cancel() = 0;
};

struct RequestOptions {
    // Opens a new connection instead of reusing a pooled one. The server may close a pooled
    // connection while the request is being sent, which leaves unknown whether the request ran.
    bool newConnection = false;
    // Cancels the request as long as its response has not started.
    std::shared_ptr<Cancellation> cancellation;
    // Upper bound on the connection setup; the timeout of the request applies as well.
    Duration connectTimeout = Duration::max();
    // Tells by its headers whose response has arrived; responses to other requests are read and
    // discarded. One of unknown owner is accepted as the first response of a new connection only;
    // otherwise the request fails with EndpointFailed, since it may run while an earlier response
    // was sent twice. If empty, every response is accepted.
    std::function<ResponseOwner(const Headers &)> ownerOf;
    // Largest body that send() collects; a longer one fails the request with EndpointFailed. open()
    // leaves that to its caller.
    std::size_t maxResponseBytes = 32UL * 1024 * 1024;
    // Called once the connection is established, before the first byte of the request; if it
    // returns false, the request fails with Overloaded and notRun(). If empty, the request is sent.
    std::function<bool()> maySend;
};

// Not thread-safe: use only from its executor, which must run on a single thread.
class Client
{
public:
    explicit Client(const boost::asio::any_io_executor &executor);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    const boost::asio::any_io_executor &executor() const;

    // Sends the request and reads the whole response within `timeout`. An error with notRun()
    // means that no byte of the request was sent. Never retries: a pooled connection that turns
    // out to be closed yields ConnectionLost, with notRun() only if nothing was sent.
    boost::asio::awaitable<Result<Response>> send(Address server, Request request, Duration timeout,
                                                  RequestOptions options = {});

    // Sends the request and returns once the response header has been read, within `timeout`.
    boost::asio::awaitable<Result<std::unique_ptr<ResponseStream>>>
    open(Address server, Request request, Duration timeout, RequestOptions options = {});

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::http
