// HTTP/1.1 client over Boost.Beast with pooled connections.
//
//     auto response = co_await client.send(address, request, 5s);
//     auto stream = co_await client.open(address, request, 5s);
//     while (auto part = co_await stream.value()->read()) { ... }
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/http/cancellation.h"
#include "basilhall/http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace basilhall::http
{

// An answer whose body is read part by part. Dropping it closes the connection, which cancels
// the request at servers that watch for it.
class ResponseStream
{
public:
    virtual ~ResponseStream() = default;

    virtual int status() const = 0;
    virtual const Headers &headers() const = 0;
    // Returns the next bytes of the body, or nothing at its orderly end. ConnectionLost if the
    // connection broke first, DeadlineExceeded if `timeout` passed without a byte.
    virtual boost::asio::awaitable<Result<std::optional<std::string>>> read(Duration timeout) = 0;
    // Closes the connection; a pending read() ends with Cancelled.
    virtual void cancel() = 0;
};

struct RequestOptions {
    // A new connection: a kept one may be closed by the server just when the request is sent, and
    // then nobody knows whether the request has run.
    bool newConnection = false;
    // Cancels the request until its answer has begun.
    std::shared_ptr<Cancellation> cancellation;
    // Bounds the connecting within the timeout of the request.
    Duration connectTimeout = Duration::max();
    // Tells whether an answer with these headers is the one to this request; others are read and
    // dropped. Empty if any answer is.
    std::function<bool(const Headers &)> belongs;
};

// Not thread-safe: use from its executor, which one thread runs.
class Client
{
public:
    explicit Client(const boost::asio::any_io_executor &executor);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    // Sends and reads the whole answer within `timeout`. An error with notRun() means that no
    // byte of the request was sent. Never repeats a request by itself: a pooled connection that
    // turns out closed gives ConnectionLost, with notRun() only if nothing was sent.
    boost::asio::awaitable<Result<Response>> send(Address server, Request request, Duration timeout,
                                                  RequestOptions options = {});

    // Sends and returns after the header of the answer, within `timeout`.
    boost::asio::awaitable<Result<std::unique_ptr<ResponseStream>>>
    open(Address server, Request request, Duration timeout, RequestOptions options = {});

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::http
