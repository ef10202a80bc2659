#include "basilhall/http/internal/client_connection.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/http/internal/socket_options.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace basilhall::http
{

namespace asio = boost::asio;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kBufferBytes = 64 * 1024;

} // namespace

ClientConnection::ClientConnection(const asio::any_io_executor &executor, Address server)
    : m_server(std::move(server))
    , m_socket(executor)
    , m_deadline(m_socket)
    , m_buffer(kBufferBytes)
{
}

asio::awaitable<Result<void>> ClientConnection::connect()
{
    boost::system::error_code parsed;
    const auto ip = asio::ip::make_address(m_server.ip, parsed);
    if (parsed) {
        co_return Error(ErrorKind::InvalidRequest, "\"" + m_server.ip + "\" is not an IP address")
            .withNotRun();
    }
    const asio::ip::tcp::endpoint endpoint(ip, m_server.port);
    const auto [error] = co_await m_socket.async_connect(endpoint, kTuple);
    if (m_cancelled || m_deadline.hasPassed()) {
        co_return failureOf("connecting").withNotRun();
    }
    if (error) {
        co_return Error(ErrorKind::Unavailable,
                        "cannot connect to " + toString(m_server) + ": " + error.message())
            .withNotRun();
    }
    setSocketOptions(m_socket);
    m_connectedAt = MonotonicClock().now();
    co_return success();
}

asio::awaitable<Result<void>> ClientConnection::write(std::string bytes)
{
    const auto [error, written] = co_await asio::async_write(m_socket, asio::buffer(bytes), kTuple);
    if (!error) {
        co_return success();
    }
    // The server had closed its side before if the pipe is broken: all that it sent has arrived.
    m_wasReset = error != asio::error::broken_pipe;
    const Error reason = failureOf("sending the request");
    co_return written == 0 ? reason.withNotRun() : reason;
}

void ClientConnection::cancel()
{
    m_cancelled = true;
    m_deadline.disarm();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

Error ClientConnection::failureOf(std::string_view operation) const
{
    const std::string activity = std::string(operation) + " with " + toString(m_server);
    if (m_cancelled) {
        return {ErrorKind::Cancelled, "cancelled while " + activity};
    }
    if (m_deadline.hasPassed()) {
        return {ErrorKind::DeadlineExceeded, "time ran out while " + activity};
    }
    return {ErrorKind::ConnectionLost, "connection broke while " + activity};
}

} // namespace basilhall::http
