// HTTP/1.1 server over Boost.Beast.
//
//     Server server(executor, address, {}, [](std::shared_ptr<Exchange> exchange)
//                       -> boost::asio::awaitable<void> {
//         (void)co_await exchange->respond({.status = 200, .headers = {}, .body = "ok"});
//     });
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

// Limits on the resources that a faulty client can consume.
struct ServerLimits {
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxConnections = 10'000;
    // Applies to the whole header of a request and, separately, to its whole body.
    Duration readTimeout = std::chrono::seconds(30);
    // Maximum time in which a write must make progress.
    Duration writeTimeout = std::chrono::seconds(30);
    // Maximum time that an idle connection is kept open.
    Duration idleTimeout = std::chrono::seconds(120);
};

// Not thread-safe: use only from its executor, which must run on a single thread.
class Server
{
public:
    using Handler = std::function<boost::asio::awaitable<void>(std::shared_ptr<Exchange>)>;

    // Listens on `address`; port 0 selects a free port. Throws boost::system::system_error if
    // the address cannot be bound. With `reusePort`, several servers can share one port.
    Server(const boost::asio::any_io_executor &executor, const Address &address,
           ServerLimits limits, Handler handler, bool reusePort = false);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    Address address() const;
    // Number of requests whose response is not complete.
    std::size_t activeExchanges() const;
    // Applies to connections that are accepted after this call.
    void setLimits(ServerLimits limits);
    // Number of open connections, including idle ones.
    std::size_t connections() const;
    // Closes each connection after the response in progress. Connections accepted later close
    // after their first response.
    void closeAfterAnswers();
    // Stops accepting connections and closes each one after the response in progress.
    void stopAccepting();
    // Closes the listener and all connections.
    void close();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::http
