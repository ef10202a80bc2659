#include "basilhall/transport/internal/server_session.h"

#include "basilhall/transport/internal/message_codec.h"
#include "basilhall/transport/internal/server_stream_state.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace basilhall::transport
{

namespace asio = boost::asio;

namespace
{

// Maximum bytes of incomplete requests buffered for one connection.
constexpr std::size_t kMaxPendingBytes = 64 * 1024 * 1024;

} // namespace

ServerSession::ServerSession(asio::ip::tcp::socket socket, KeepAlive keepAlive,
                             StreamServer::Handler handler, std::shared_ptr<std::size_t> active,
                             std::function<void()> onDisconnected)
    : Session(std::move(socket), Side::Server, keepAlive)
    , m_handler(std::move(handler))
    , m_activeStreams(std::move(active))
    , m_onDisconnected(std::move(onDisconnected))
{
}

ServerSession::~ServerSession() = default;

void ServerSession::announceShutdown()
{
    if (!isClosed()) {
        nghttp2_submit_shutdown_notice(handle());
        wakeWriter();
    }
}

void ServerSession::onHeader(std::int32_t stream, std::string_view name, std::string_view value)
{
    auto state = find(stream);
    if (!state) {
        const auto self = std::static_pointer_cast<ServerSession>(shared_from_this());
        state = std::make_shared<ServerStreamState>(self, stream);
        m_streams.emplace(stream, state);
    }
    if (name == ":path") {
        state->setMethod(value);
    }
}

void ServerSession::onData(std::int32_t stream, std::string_view bytes)
{
    consume(stream, bytes.size());
    const auto state = find(stream);
    if (!state) {
        return;
    }
    const bool isTooLarge = state->request().size() + bytes.size() > kMaxMessageBytes;
    if (isTooLarge || m_pendingBytes + bytes.size() > kMaxPendingBytes) {
        // The handler has not run, so REFUSED_STREAM is safe: the client reports notRun().
        reset(stream, NGHTTP2_REFUSED_STREAM);
        m_pendingBytes -= state->request().size();
        m_streams.erase(stream);
        return;
    }
    state->append(bytes);
    m_pendingBytes += bytes.size();
}

void ServerSession::onEndOfStream(std::int32_t stream)
{
    const auto state = find(stream);
    if (!state) {
        return;
    }
    m_pendingBytes -= state->request().size();
    state->setComplete();
    ++*m_activeStreams;
    // Posted, since this runs inside a callback of nghttp2.
    const auto self = std::static_pointer_cast<ServerSession>(shared_from_this());
    asio::post(executor(), [self, state] {
        asio::co_spawn(
            self->executor(),
            [self, state]() -> asio::awaitable<void> { co_await self->runHandler(state); },
            asio::detached);
    });
}

void ServerSession::onStreamClosed(std::int32_t stream, std::uint32_t)
{
    const auto state = find(stream);
    if (!state) {
        return;
    }
    if (!state->isComplete()) {
        m_pendingBytes -= state->request().size();
    }
    m_streams.erase(stream);
    state->onClosed();
}

void ServerSession::onClosed()
{
    const auto streams = std::exchange(m_streams, {});
    for (const auto &[id, state] : streams) {
        state->onClosed();
    }
    if (const auto onDisconnected = std::exchange(m_onDisconnected, nullptr)) {
        onDisconnected();
    }
}

std::shared_ptr<ServerStreamState> ServerSession::find(std::int32_t stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? nullptr : found->second;
}

asio::awaitable<void> ServerSession::runHandler(std::shared_ptr<ServerStreamState> state)
{
    try {
        co_await m_handler(state);
    } catch (const std::exception &) {
        // onHandlerReturned() resets the stream, which notifies the peer.
    }
    state->onHandlerReturned();
    --*m_activeStreams;
}

} // namespace basilhall::transport
