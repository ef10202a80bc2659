// A connection of the HTTP client, used for one request at a time.
//
//     connection->deadline().arm(5s);
//     auto done = co_await connection->connect();
//     done = co_await connection->write(bytes);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/time.h"
#include "basilhall/http/internal/deadline.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <string>

namespace basilhall::http
{

// Not thread-safe.
class ClientConnection
{
public:
    ClientConnection(const boost::asio::any_io_executor &executor, Address server);

    const Address &server() const { return m_server; }
    boost::asio::ip::tcp::socket &socket() { return m_socket; }
    boost::beast::flat_buffer &buffer() { return m_buffer; }
    Deadline &deadline() { return m_deadline; }
    // Time at which connect() succeeded.
    Instant connectedAt() const { return m_connectedAt; }

    // Connects within the armed deadline. Every error has notRun().
    boost::asio::awaitable<Result<void>> connect();
    // Writes a whole request; an error has notRun() if no byte was sent.
    boost::asio::awaitable<Result<void>> write(std::string bytes);
    // True if a write has met a reset. The socket reports a reset once only: a later read ends like
    // that of a connection that the server has closed.
    bool wasReset() const { return m_wasReset; }
    // Closes the connection; pending operations end with Cancelled.
    void cancel();
    // Returns the error for a failed operation: Cancelled, DeadlineExceeded or ConnectionLost.
    Error failureOf(std::string_view operation) const;

private:
    const Address m_server;
    boost::asio::ip::tcp::socket m_socket;
    Deadline m_deadline;
    boost::beast::flat_buffer m_buffer;
    Instant m_connectedAt;
    bool m_cancelled = false;
    bool m_wasReset = false;
};

} // namespace basilhall::http
