// Accepts HTTP/2 streams from peer processes and runs a handler coroutine for each.
//
//     StreamServer server(executor, address, [](std::shared_ptr<ServerStream> stream) { ... });
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/transport/keep_alive.h"
#include "basilhall/transport/server_stream.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace basilhall::transport
{

// Not thread-safe: use only from its executor, which must run on a single thread.
class StreamServer
{
public:
    // Runs once per stream. The stream is reset if the handler returns before finish().
    using Handler = std::function<boost::asio::awaitable<void>(std::shared_ptr<ServerStream>)>;

    // Listens on `address`; port 0 selects a free port. Throws boost::system::system_error if the
    // address cannot be bound.
    StreamServer(const boost::asio::any_io_executor &executor, const Address &address,
                 Handler handler, KeepAlive keepAlive = {});
    ~StreamServer();
    StreamServer(const StreamServer &) = delete;
    StreamServer &operator=(const StreamServer &) = delete;

    Address address() const;
    // Number of streams whose handler has not returned.
    std::size_t activeStreams() const;
    // Number of connected peers.
    std::size_t connections() const;
    // Stops accepting connections and asks connected peers to open no further streams (GOAWAY).
    void stopAccepting();
    // Closes the listener and all connections.
    void close();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::transport
