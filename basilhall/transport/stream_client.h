// Opens streams to peer processes over pooled HTTP/2 connections, one per peer and thread.
//
//     auto stream = co_await client.open(address, "/resolve", request.SerializeAsString(), 2s);
//     auto reply = co_await stream.value()->next();
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/transport/client_stream.h"
#include "basilhall/transport/keep_alive.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace basilhall::transport
{

// Not thread-safe: use only from its executor, which must run on a single thread.
class StreamClient
{
public:
    explicit StreamClient(const boost::asio::any_io_executor &executor, KeepAlive keepAlive = {});
    ~StreamClient();
    StreamClient(const StreamClient &) = delete;
    StreamClient &operator=(const StreamClient &) = delete;

    // Connects if necessary and sends the request. Every error has notRun(), since the request was
    // never submitted to the connection. Returns PayloadTooLarge if the request exceeds
    // kMaxMessageBytes. `connectTimeout` limits only the time to connect.
    boost::asio::awaitable<Result<std::unique_ptr<ClientStream>>>
    open(Address peer, std::string method, std::string request, Duration connectTimeout);

    // Closes all connections; open streams end with ConnectionLost.
    void close();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::transport
