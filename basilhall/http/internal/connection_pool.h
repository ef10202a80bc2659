// Idle connections of the HTTP client, by server.
#pragma once

#include "basilhall/http/internal/client_connection.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace basilhall::http
{

// Not thread-safe. Bounded per server; connections that idle too long are not used again.
class ConnectionPool
{
public:
    explicit ConnectionPool(const boost::asio::any_io_executor &executor);

    const boost::asio::any_io_executor &executor() const { return m_executor; }
    // Returns an idle connection that the server has not closed, or nothing.
    std::shared_ptr<ClientConnection> take(const Address &server);
    // `keepTime` is how long the server says it keeps the connection, if it does.
    void give(std::shared_ptr<ClientConnection> connection, std::optional<Duration> keepTime);

private:
    struct Idle {
        std::shared_ptr<ClientConnection> connection;
        std::chrono::steady_clock::time_point until;
    };

    boost::asio::any_io_executor m_executor;
    std::map<Address, std::vector<Idle>> m_idle;
};

} // namespace basilhall::http
