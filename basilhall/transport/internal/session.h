// Base class of one HTTP/2 connection between two processes. Transfers bytes between the socket and
// nghttp2, sends keep-alive PINGs and closes the connection when the peer is silent for too long.
//
//     const auto session = std::make_shared<ClientSession>(std::move(socket), keepAlive);
//     session->start();
#pragma once

#include "basilhall/transport/keep_alive.h"
#include "basilhall/transport/signal.h"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>

namespace basilhall::transport
{

// Flow-control window of one stream: maximum bytes of unread replies at the receiver.
inline constexpr std::int32_t kStreamWindowBytes = 256 * 1024;
// Maximum number of concurrent streams of a connection.
inline constexpr std::uint32_t kMaxStreams = 4096;

// Not thread-safe. Derived classes handle the events of the streams.
class Session : public std::enable_shared_from_this<Session>
{
public:
    enum class Side { Client, Server };

    Session(boost::asio::ip::tcp::socket socket, Side side, KeepAlive keepAlive);
    virtual ~Session();
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    // Sends the HTTP/2 settings and starts the coroutines that serve the socket.
    void start();
    // Closes the socket immediately. Every open stream ends with an error.
    void close();
    bool isClosed() const { return m_closed; }
    // Resets one stream.
    void reset(std::int32_t stream, std::uint32_t code);
    // Reports to nghttp2 that the receiver has consumed `size` bytes of a stream.
    void consume(std::int32_t stream, std::size_t size);
    // Wakes the write loop to send submitted frames.
    void wakeWriter() { m_writable.notify(); }
    // Suspends until all frames generated so far are written to the socket or the session is
    // closed.
    boost::asio::awaitable<void> flushed();

    nghttp2_session *handle() { return m_session; }
    boost::asio::any_io_executor executor() { return m_socket.get_executor(); }

protected:
    virtual void onHeader(std::int32_t stream, std::string_view name, std::string_view value) = 0;
    virtual void onData(std::int32_t stream, std::string_view bytes) = 0;
    // The peer has sent END_STREAM.
    virtual void onEndOfStream(std::int32_t stream) = 0;
    // The stream is closed on both sides; `code` is an HTTP/2 error code.
    virtual void onStreamClosed(std::int32_t stream, std::uint32_t code) = 0;
    // The peer accepts no further streams.
    virtual void onGoaway() = 0;
    // The connection is closed. Called once, outside of nghttp2 callbacks.
    virtual void onClosed() = 0;

private:
    friend struct SessionCallbacks;

    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<void> writeLoop();
    boost::asio::awaitable<void> keepAliveLoop();
    void submitSettings();
    // Collects the next bytes to write; empty if there are none.
    std::string nextBytes();

    boost::asio::ip::tcp::socket m_socket;
    const Side m_side;
    const KeepAlive m_keepAlive;
    nghttp2_session *m_session = nullptr;
    Signal m_writable;
    Signal m_written;
    boost::asio::steady_timer m_keepAliveTimer;
    std::chrono::steady_clock::time_point m_lastReceived;
    std::chrono::steady_clock::time_point m_lastPing;
    // Total bytes taken from nghttp2 and total bytes written to the socket.
    std::uint64_t m_bytesGenerated = 0;
    std::uint64_t m_bytesWritten = 0;
    bool m_closed = false;
};

} // namespace basilhall::transport
