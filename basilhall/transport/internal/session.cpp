#include "basilhall/transport/internal/session.h"

#include "basilhall/transport/internal/session_callbacks.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace basilhall::transport
{

namespace asio = boost::asio;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBytes = 32 * 1024;
// Frames are batched up to this size for each write.
constexpr std::size_t kWriteBytes = 64 * 1024;
// Flow-control window of a connection. Unread streams are limited only by their stream windows.
constexpr std::int32_t kConnectionWindowBytes = 16 * 1024 * 1024;

} // namespace

Session::Session(asio::ip::tcp::socket socket, Side side, KeepAlive keepAlive)
    : m_socket(std::move(socket))
    , m_side(side)
    , m_keepAlive(keepAlive)
    , m_writable(m_socket.get_executor())
    , m_written(m_socket.get_executor())
    , m_keepAliveTimer(m_socket.get_executor())
    , m_lastReceived(std::chrono::steady_clock::now())
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_session = createSession(*this, side);
}

Session::~Session()
{
    nghttp2_session_del(m_session);
}

void Session::start()
{
    submitSettings();
    const auto self = shared_from_this();
    const auto run = [&](auto loop) {
        asio::co_spawn(
            m_socket.get_executor(),
            [self, loop]() -> asio::awaitable<void> { co_await (self.get()->*loop)(); },
            asio::detached);
    };
    run(&Session::readLoop);
    run(&Session::writeLoop);
    run(&Session::keepAliveLoop);
}

void Session::close()
{
    if (std::exchange(m_closed, true)) {
        return;
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_keepAliveTimer.cancel();
    m_writable.notify();
    m_written.notify();
    // Posted, since close() may be called inside a callback of nghttp2.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->onClosed(); });
}

void Session::reset(std::int32_t stream, std::uint32_t code)
{
    if (!m_closed) {
        nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, code);
        wakeWriter();
    }
}

void Session::consume(std::int32_t stream, std::size_t size)
{
    if (!m_closed && size > 0) {
        nghttp2_session_consume_stream(m_session, stream, size);
        wakeWriter();
    }
}

asio::awaitable<void> Session::flushed()
{
    const auto self = shared_from_this();
    const std::uint64_t target = m_bytesGenerated;
    while (!m_closed && m_bytesWritten < target) {
        co_await m_written.wait();
    }
}

asio::awaitable<void> Session::readLoop()
{
    // Shared by all connections of the thread, so that idle connections need no buffer.
    thread_local std::array<char, kReadBytes> buffer;
    m_socket.non_blocking(true);
    while (!m_closed) {
        (void)co_await m_socket.async_wait(asio::socket_base::wait_read, kTuple);
        boost::system::error_code error;
        const std::size_t size = m_closed ? 0 : m_socket.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            continue;
        }
        if (error || m_closed) {
            break;
        }
        m_lastReceived = std::chrono::steady_clock::now();
        const auto taken = nghttp2_session_mem_recv(
            m_session, reinterpret_cast<const std::uint8_t *>(buffer.data()), size);
        if (taken < 0) {
            break;
        }
        wakeWriter();
    }
    close();
}

asio::awaitable<void> Session::writeLoop()
{
    while (!m_closed) {
        const std::string bytes = nextBytes();
        if (bytes.empty()) {
            if (nghttp2_session_want_read(m_session) == 0) {
                break;
            }
            co_await m_writable.wait();
            continue;
        }
        m_bytesGenerated += bytes.size();
        const auto [error, size] =
            co_await asio::async_write(m_socket, asio::buffer(bytes), kTuple);
        m_bytesWritten += size;
        m_written.notify();
        if (error) {
            break;
        }
    }
    close();
}

asio::awaitable<void> Session::keepAliveLoop()
{
    while (!m_closed) {
        m_keepAliveTimer.expires_after(m_keepAlive.pingInterval / 2);
        (void)co_await m_keepAliveTimer.async_wait(kTuple);
        const auto now = std::chrono::steady_clock::now();
        const bool isPingDue = now - m_lastPing >= m_keepAlive.pingInterval;
        // What the peer has sent may wait unread if this check is late.
        const bool isLate = now - m_keepAliveTimer.expiry() >= m_keepAlive.pingInterval / 2;
        if (now - m_lastReceived >= m_keepAlive.silenceLimit * (isLate ? 2 : 1)) {
            close();
        } else if (!m_closed && m_side == Side::Client && isPingDue) {
            // Sent even while data arrives, since the server closes the connection of a client that
            // only receives and sends nothing.
            m_lastPing = now;
            nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
            wakeWriter();
        }
    }
}

void Session::submitSettings()
{
    const std::array<nghttp2_settings_entry, 2> settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                               static_cast<std::uint32_t>(kStreamWindowBytes)}};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

std::string Session::nextBytes()
{
    std::string bytes;
    while (bytes.size() < kWriteBytes) {
        const std::uint8_t *data = nullptr;
        const auto size = nghttp2_session_mem_send(m_session, &data);
        if (size <= 0) {
            break;
        }
        bytes.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(size));
    }
    return bytes;
}

} // namespace basilhall::transport
