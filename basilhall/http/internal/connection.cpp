#include "basilhall/http/internal/connection.h"

#include "basilhall/http/internal/framing.h"
#include "basilhall/http/internal/server_exchange.h"
#include "basilhall/http/internal/socket_options.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

namespace basilhall::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBytes = 16 * 1024;
// Maximum number of bytes that are written to the socket under one write timeout.
constexpr std::size_t kWriteBytes = 64 * 1024;
// Time that an idle connection stays open for a request that was sent just before the
// shutdown.
constexpr Duration kDrainGrace = std::chrono::seconds(1);
// Limits for reading and discarding input after an error response. Closing the socket with unread
// input would reset the connection, and the client could lose the response.
constexpr Duration kLingerTime = std::chrono::seconds(2);
constexpr std::size_t kLingerBytes = 16 * 1024 * 1024;

constexpr int kStatusTimeout = 408;
constexpr int kStatusHeaderTooLarge = 431;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

Connection::Connection(asio::ip::tcp::socket socket, const ServerLimits &limits,
                       Server::Handler handler, std::shared_ptr<std::size_t> activeExchanges)
    : m_socket(std::move(socket))
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_activeExchanges(std::move(activeExchanges))
    , m_deadline(m_socket)
    , m_buffer(std::max(limits.maxHeaderBytes, kReadBytes) + kReadBytes)
    , m_watchEnded(m_socket.get_executor())
{
    setSocketOptions(m_socket);
    boost::system::error_code error;
    m_clientAddress = m_socket.remote_endpoint(error).address().to_string();
}

asio::awaitable<void> Connection::run()
{
    bool open = true;
    while (open) {
        open = co_await serveOne();
    }
    close();
}

void Connection::drain()
{
    m_draining = true;
    if (m_idle) {
        m_deadline.arm(kDrainGrace);
    }
}

void Connection::close()
{
    m_deadline.disarm();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

asio::awaitable<bool> Connection::serveOne()
{
    if (m_buffer.size() == 0 && !co_await awaitFirstByte()) {
        co_return false;
    }
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(m_limits.maxHeaderBytes));
    parser.body_limit(m_limits.maxBodyBytes);
    if (!co_await readRequest(parser)) {
        co_return false;
    }
    ++*m_activeExchanges;
    const bool keepOpen = co_await handle(parser);
    --*m_activeExchanges;
    co_return keepOpen;
}

asio::awaitable<bool> Connection::awaitFirstByte()
{
    m_buffer.shrink_to_fit();
    m_idle = true;
    m_deadline.arm(m_draining ? kDrainGrace : m_limits.idleTimeout);
    const auto [error] = co_await m_socket.async_wait(asio::socket_base::wait_read, kTuple);
    m_deadline.disarm();
    m_idle = false;
    if (!error) {
        co_return true;
    }
    boost::system::error_code ignored;
    co_return m_socket.is_open() && m_socket.available(ignored) > 0;
}

asio::awaitable<bool> Connection::readRequest(Parser &parser)
{
    // A read takes what the buffer has room for, which would be 512 bytes.
    m_buffer.reserve(kReadBytes);
    m_deadline.arm(m_limits.readTimeout);
    const auto [error, bytes] =
        co_await beast::http::async_read_header(m_socket, m_buffer, parser, kTuple);
    m_deadline.disarm();
    if (error) {
        co_await reject(error);
        co_return false;
    }
    const Result<void> framing = checkFraming(parser.get());
    if (!framing) {
        co_await reject(framing.error(), errorTraits(framing.error().kind()).httpStatus);
        co_return false;
    }
    co_return co_await readBody(parser);
}

asio::awaitable<bool> Connection::readBody(Parser &parser)
{
    if (parser.is_done()) {
        co_return true;
    }
    if (beast::iequals(parser.get()[beast::http::field::expect], "100-continue")) {
        const Result<void> sent = co_await write(std::string(kContinue));
        if (!sent) {
            co_return false;
        }
    }
    m_deadline.arm(m_limits.readTimeout);
    const auto [error, bytes] =
        co_await beast::http::async_read(m_socket, m_buffer, parser, kTuple);
    m_deadline.disarm();
    if (error) {
        co_await reject(error);
        co_return false;
    }
    co_return true;
}

asio::awaitable<bool> Connection::handle(Parser &parser)
{
    auto message = parser.release();
    ResponseFormat format;
    format.version = std::min(message.version(), 11U);
    format.keepAlive = message.keep_alive();
    format.headOnly = message.method() == beast::http::verb::head;
    Request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.headers = toHeaders(message);
    request.body = std::move(message.body());

    m_watching = true;
    // Keeps the connection alive until the coroutine begins.
    asio::co_spawn(
        m_socket.get_executor(),
        [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->watchClient(); },
        asio::detached);
    auto exchange =
        std::make_shared<ServerExchange>(shared_from_this(), std::move(request), format);
    co_await runHandler(exchange);
    m_disconnectHandler = nullptr;
    const bool keepOpen = exchange->isComplete() && exchange->keepsConnection();
    exchange->detach();
    if (!keepOpen || m_disconnected) {
        if (exchange->isComplete() && !m_disconnected) {
            co_await linger();
        }
        co_return false;
    }
    co_await stopWatching();
    co_return !m_disconnected;
}

asio::awaitable<void> Connection::runHandler(std::shared_ptr<Exchange> exchange)
{
    bool failed = false;
    try {
        co_await m_handler(exchange);
    } catch (const std::exception &) {
        failed = true;
    }
    auto &serverExchange = static_cast<ServerExchange &>(*exchange);
    if (serverExchange.hasBegun()) {
        co_return;
    }
    const Error error(ErrorKind::Internal,
                      failed ? "request handler failed" : "request handler sent no response");
    (void)co_await serverExchange.respond(
        errorResponse(error, errorTraits(error.kind()).httpStatus));
}

asio::awaitable<void> Connection::reject(boost::system::error_code error)
{
    if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow) {
        const Error tooLarge(ErrorKind::PayloadTooLarge,
                             "request header is larger than "
                                 + std::to_string(m_limits.maxHeaderBytes) + " bytes");
        co_await reject(tooLarge.withNotRun(), kStatusHeaderTooLarge);
    } else if (error == beast::http::error::body_limit) {
        const Error tooLarge(ErrorKind::PayloadTooLarge,
                             "request body is larger than " + std::to_string(m_limits.maxBodyBytes)
                                 + " bytes");
        co_await reject(tooLarge.withNotRun(), errorTraits(tooLarge.kind()).httpStatus);
    } else if (m_deadline.hasPassed()) {
        const Error timedOut(ErrorKind::DeadlineExceeded, "request did not arrive in time");
        co_await reject(timedOut.withNotRun(), kStatusTimeout);
    } else if (error.category()
                   == beast::http::make_error_code(beast::http::error::bad_method).category()
               && error != beast::http::error::end_of_stream
               && error != beast::http::error::partial_message) {
        const Error malformed(ErrorKind::InvalidRequest, "malformed request: " + error.message());
        co_await reject(malformed.withNotRun(), errorTraits(malformed.kind()).httpStatus);
    }
}

asio::awaitable<void> Connection::reject(Error error, int status)
{
    ResponseFormat format;
    format.keepAlive = false;
    const Result<void> sent = co_await write(encodeResponse(errorResponse(error, status), format));
    if (sent) {
        co_await linger();
    }
}

asio::awaitable<void> Connection::linger()
{
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    co_await stopWatching();
    std::array<char, kReadBytes> scratch{};
    std::size_t total = 0;
    m_deadline.arm(kLingerTime);
    while (total < kLingerBytes) {
        const auto [error, bytes] =
            co_await m_socket.async_read_some(asio::buffer(scratch), kTuple);
        if (error) {
            break;
        }
        total += bytes;
    }
    m_deadline.disarm();
}

asio::awaitable<Result<void>> Connection::write(std::string bytes)
{
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const std::size_t size = std::min(kWriteBytes, bytes.size() - offset);
        m_deadline.arm(m_limits.writeTimeout);
        const auto [error, written] =
            co_await m_socket.async_write_some(asio::buffer(bytes.data() + offset, size), kTuple);
        m_deadline.disarm();
        if (error) {
            handleClientDisconnect();
            co_return Error(ErrorKind::ConnectionLost, "client connection is closed or stalled");
        }
        offset += written;
    }
    co_return success();
}

void Connection::onClientGone(std::function<void()> handler)
{
    if (m_disconnected) {
        handler();
        return;
    }
    m_disconnectHandler = std::move(handler);
}

asio::awaitable<void> Connection::watchClient()
{
    const auto self = shared_from_this();
    while (m_watching && m_buffer.size() < kReadBytes) {
        const auto [error, bytes] =
            co_await m_socket.async_read_some(m_buffer.prepare(kReadBytes / 4), kTuple);
        m_buffer.commit(bytes);
        if (error && m_watching) {
            handleClientDisconnect();
        }
        if (error) {
            break;
        }
    }
    m_watching = false;
    m_watchEnded.cancel();
}

asio::awaitable<void> Connection::stopWatching()
{
    if (!m_watching) {
        co_return;
    }
    m_watching = false;
    m_watchEnded.expires_at(std::chrono::steady_clock::time_point::max());
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
    (void)co_await m_watchEnded.async_wait(kTuple);
}

void Connection::handleClientDisconnect()
{
    if (std::exchange(m_disconnected, true)) {
        return;
    }
    if (const auto handler = std::exchange(m_disconnectHandler, nullptr)) {
        handler();
    }
}

} // namespace basilhall::http
