#include "basilhall/transport/internal/peer_connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace basilhall::transport
{

namespace asio = boost::asio;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// Timeout of one connection attempt, independent of the timeouts of its callers. The kernel resends
// a lost SYN only after one second, then after two more; a new attempt is faster.
constexpr Duration kConnectAttemptTimeout = std::chrono::milliseconds(500);

} // namespace

PeerConnection::PeerConnection(const asio::any_io_executor &executor, Address peer,
                               KeepAlive keepAlive)
    : m_executor(executor)
    , m_peer(std::move(peer))
    , m_keepAlive(keepAlive)
    , m_socket(executor)
    , m_connectTimer(executor)
{
}

bool PeerConnection::isIdle() const
{
    return !m_connecting && (!m_session || !m_session->isUsable());
}

asio::awaitable<Result<std::shared_ptr<ClientSession>>> PeerConnection::session(Duration timeout)
{
    const auto self = shared_from_this();
    if (m_session && m_session->isUsable()) {
        co_return m_session;
    }
    if (!m_connecting) {
        m_connecting = true;
        // Keeps the connection alive until the coroutine begins.
        asio::co_spawn(
            m_executor, [self]() -> asio::awaitable<void> { co_await self->connect(); },
            asio::detached);
    }
    const auto waiter = std::make_shared<asio::steady_timer>(m_executor, timeout);
    m_waiters.push_back(waiter);
    (void)co_await waiter->async_wait(kTuple);
    std::erase(m_waiters, waiter);
    if (m_session && m_session->isUsable()) {
        co_return m_session;
    }
    co_return connectError(m_connecting ? "timed out" : m_lastError);
}

asio::awaitable<void> PeerConnection::connect()
{
    const auto self = shared_from_this();
    const auto error = co_await connectSocket();
    m_connecting = false;
    m_lastError = error.message();
    if (!error) {
        m_session = std::make_shared<ClientSession>(std::move(m_socket), m_keepAlive);
        m_session->start();
    }
    for (const auto &waiter : m_waiters) {
        waiter->cancel();
    }
}

asio::awaitable<boost::system::error_code> PeerConnection::connectSocket()
{
    boost::system::error_code parsed;
    const auto ip = asio::ip::make_address(m_peer.ip, parsed);
    if (parsed) {
        co_return parsed;
    }
    m_socket = asio::ip::tcp::socket(m_executor);
    m_connectTimer.expires_after(kConnectAttemptTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && self->m_connecting) {
            boost::system::error_code ignored;
            self->m_socket.close(ignored);
        }
    });
    const asio::ip::tcp::endpoint endpoint(ip, m_peer.port);
    const auto [error] = co_await m_socket.async_connect(endpoint, kTuple);
    m_connectTimer.cancel();
    co_return error;
}

void PeerConnection::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (m_session) {
        m_session->close();
    }
}

Error PeerConnection::connectError(std::string_view reason) const
{
    return Error(ErrorKind::Unavailable,
                 "cannot connect to " + toString(m_peer) + ": " + std::string(reason))
        .withNotRun();
}

} // namespace basilhall::transport
