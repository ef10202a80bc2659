// HTTP/1.1 server over Boost.Beast.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/time.h"
#include "basilhall/http/exchange.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>

namespace basilhall::http
{

// Bounds that keep a faulty client from costing more than its share.
struct ServerLimits {
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxConnections = 10'000;
    // Time for the whole header, and for the whole body, of one request.
    Duration readTimeout = std::chrono::seconds(30);
    // Time for one write to make progress.
    Duration writeTimeout = std::chrono::seconds(30);
    // Time that an idle connection is kept.
    Duration idleTimeout = std::chrono::seconds(120);
};

// Not thread-safe: use from its executor, which one thread runs.
class Server
{
public:
    using Handler = std::function<boost::asio::awaitable<void>(std::shared_ptr<Exchange>)>;

    // Listens on `address`; port 0 takes a free one. Throws boost::system::system_error if the
    // address cannot be bound. With `reusePort`, several servers share one port.
    Server(const boost::asio::any_io_executor &executor, const Address &address,
           ServerLimits limits, Handler handler, bool reusePort = false);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    Address address() const;
    // Number of requests whose answer is not complete.
    std::size_t activeExchanges() const;
    // Limits of connections accepted from now on.
    void setLimits(ServerLimits limits);
    // Number of open connections, idle ones included.
    std::size_t connections() const;
    // Closes each connection after the answer in progress, later ones after their first answer.
    void closeAfterAnswers();
    // Stops accepting and closes each connection after the answer in progress.
    void stopAccepting();
    // Closes the listener and all connections.
    void close();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::http
