// Idle connections of the HTTP client, by server.
//
//     std::shared_ptr<ClientConnection> connection = pool.acquire(server);
//     pool.release(connection, std::nullopt);
#pragma once

#include "basilhall/http/internal/client_connection.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace basilhall::http
{

// Not thread-safe. Holds a bounded number of connections per server and does not reuse connections
// that have been idle too long.
class ConnectionPool
{
public:
    explicit ConnectionPool(const boost::asio::any_io_executor &executor);

    const boost::asio::any_io_executor &executor() const { return m_executor; }
    // Returns an idle connection that the server has not closed, or nullptr.
    std::shared_ptr<ClientConnection> acquire(const Address &server);
    // Makes the connection available for reuse. `serverKeepAlive` is how long the server announced
    // to keep it open, if it did.
    void release(std::shared_ptr<ClientConnection> connection,
                 std::optional<Duration> serverKeepAlive);

private:
    struct Idle {
        std::shared_ptr<ClientConnection> connection;
        std::chrono::steady_clock::time_point until;
    };

    boost::asio::any_io_executor m_executor;
    std::map<Address, std::vector<Idle>> m_idle;
};

} // namespace basilhall::http
