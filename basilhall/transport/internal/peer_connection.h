// Shares one connection to a peer, or one connection attempt, between several callers.
//
//     auto session = co_await connection->session(timeout);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/transport/internal/client_session.h"

#include <vector>

namespace basilhall::transport
{

// Not thread-safe.
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    PeerConnection(const boost::asio::any_io_executor &executor, Address peer, KeepAlive keepAlive);

    // Returns a connection that accepts new streams, waiting up to `timeout` for a new one. Every
    // error is Unavailable with notRun().
    boost::asio::awaitable<Result<std::shared_ptr<ClientSession>>> session(Duration timeout);
    // Returns true if there is neither a usable connection nor an attempt.
    bool isIdle() const;
    // Closes the connection and aborts the attempt.
    void close();

private:
    boost::asio::awaitable<void> connect();
    boost::asio::awaitable<boost::system::error_code> connectSocket();
    Error connectError(std::string_view reason) const;

    boost::asio::any_io_executor m_executor;
    const Address m_peer;
    const KeepAlive m_keepAlive;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    bool m_connecting = false;
    std::vector<std::shared_ptr<boost::asio::steady_timer>> m_waiters;
    std::shared_ptr<ClientSession> m_session;
    std::string m_lastError;
};

} // namespace basilhall::transport
