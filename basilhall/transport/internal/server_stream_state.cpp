#include "basilhall/transport/internal/server_stream_state.h"

#include "basilhall/transport/internal/message_codec.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstring>

namespace basilhall::transport
{

namespace asio = boost::asio;

namespace
{

// Senders are suspended while more than this many bytes are waiting for the flow-control window.
constexpr std::size_t kMaxUnsentBytes = 64 * 1024;

ssize_t readReplies(nghttp2_session *, std::int32_t, std::uint8_t *buffer, std::size_t size,
                    std::uint32_t *flags, nghttp2_data_source *source, void *)
{
    bool end = false;
    auto *state = static_cast<ServerStreamState *>(source->ptr);
    const std::size_t count = state->readReplies(buffer, size, end);
    if (end) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    } else if (count == 0) {
        return NGHTTP2_ERR_DEFERRED;
    }
    return static_cast<ssize_t>(count);
}

Error streamLost()
{
    return {ErrorKind::ConnectionLost, "peer cancelled the stream or the connection broke"};
}

} // namespace

ServerStreamState::ServerStreamState(const std::shared_ptr<ServerSession> &session, std::int32_t id)
    : m_session(session)
    , m_changed(session->executor())
    , m_id(id)
{
}

asio::awaitable<Result<void>> ServerStreamState::send(std::string message)
{
    const auto self = shared_from_this();
    if (message.size() > kMaxMessageBytes) {
        co_return Error(ErrorKind::PayloadTooLarge,
                        "reply of " + std::to_string(message.size()) + " bytes is larger than "
                            + std::to_string(kMaxMessageBytes));
    }
    if (m_closed || m_finished) {
        co_return streamLost();
    }
    appendMessage(m_replies, message);
    resume();
    while (!m_closed && pendingBytes() > kMaxUnsentBytes) {
        co_await m_changed.wait();
    }
    if (m_closed) {
        co_return streamLost();
    }
    co_return success();
}

asio::awaitable<Result<void>> ServerStreamState::finish()
{
    const auto self = shared_from_this();
    if (!m_closed) {
        m_finished = true;
        resume();
    }
    while (!m_closed && !m_endSent) {
        co_await m_changed.wait();
    }
    if (!m_endSent) {
        co_return streamLost();
    }
    if (const auto session = m_session.lock()) {
        co_await session->flushed();
    }
    co_return success();
}

void ServerStreamState::onCancelled(std::function<void()> handler)
{
    if (m_closed) {
        handler();
        return;
    }
    m_cancelHandler = std::move(handler);
}

void ServerStreamState::onClosed()
{
    if (std::exchange(m_closed, true)) {
        return;
    }
    m_changed.notify();
    const auto session = m_session.lock();
    if (!m_endSent && m_cancelHandler && session) {
        // Posted, since this may run inside a callback of nghttp2.
        asio::post(session->executor(), std::exchange(m_cancelHandler, nullptr));
    }
}

void ServerStreamState::onHandlerReturned()
{
    m_cancelHandler = nullptr;
    const auto session = m_session.lock();
    if (session && !m_closed && !m_finished) {
        session->reset(m_id, NGHTTP2_INTERNAL_ERROR);
    }
}

std::size_t ServerStreamState::readReplies(std::uint8_t *out, std::size_t size, bool &end)
{
    const std::size_t count = std::min(size, pendingBytes());
    std::memcpy(out, m_replies.data() + m_offset, count);
    m_offset += count;
    if (m_offset == m_replies.size()) {
        m_replies.clear();
        m_offset = 0;
    }
    end = m_finished && pendingBytes() == 0;
    m_endSent = m_endSent || end;
    if (pendingBytes() <= kMaxUnsentBytes) {
        m_changed.notify();
    }
    return count;
}

void ServerStreamState::resume()
{
    const auto session = m_session.lock();
    if (!session || session->isClosed()) {
        return;
    }
    if (m_headerSubmitted) {
        nghttp2_session_resume_data(session->handle(), m_id);
    } else {
        m_headerSubmitted = true;
        constexpr std::string_view kName = ":status";
        constexpr std::string_view kValue = "200";
        const auto bytes = [](std::string_view text) {
            return reinterpret_cast<std::uint8_t *>(const_cast<char *>(text.data()));
        };
        const nghttp2_nv status{bytes(kName), bytes(kValue), kName.size(), kValue.size(),
                                NGHTTP2_NV_FLAG_NONE};
        nghttp2_data_provider provider{};
        provider.source.ptr = this;
        provider.read_callback = &transport::readReplies;
        nghttp2_submit_response(session->handle(), m_id, &status, 1, &provider);
    }
    session->wakeWriter();
}

} // namespace basilhall::transport
