#include "basilhall/transport/internal/client_stream_state.h"

#include <algorithm>
#include <cstring>

namespace basilhall::transport
{

ClientStreamState::ClientStreamState(const std::shared_ptr<ClientSession> &session,
                                     std::string request)
    : m_session(session)
    , m_changed(session->executor())
    , m_request(std::move(request))
{
}

std::size_t ClientStreamState::readRequest(std::uint8_t *out, std::size_t size, bool &end)
{
    const std::size_t count = std::min(size, m_request.size() - m_requestOffset);
    std::memcpy(out, m_request.data() + m_requestOffset, count);
    m_requestOffset += count;
    end = m_requestOffset == m_request.size();
    if (end) {
        m_requestSent = true;
        m_request = std::string();
        m_requestOffset = 0;
    }
    return count;
}

void ClientStreamState::onStatus(std::string_view status)
{
    if (status != "200") {
        fail(Error(ErrorKind::ConnectionLost, "peer answered status " + std::string(status)));
    }
}

void ClientStreamState::onData(std::string_view bytes)
{
    m_unconsumedBytes += bytes.size();
    if (m_error) {
        consumeReceived();
        return;
    }
    const Result<void> taken = m_reader.feed(bytes);
    if (!taken) {
        fail(taken.error());
        if (const auto session = m_session.lock()) {
            session->reset(m_id, NGHTTP2_ENHANCE_YOUR_CALM);
        }
        return;
    }
    consumeReceived();
    if (m_reader.hasMessage()) {
        m_changed.notify();
    }
}

void ClientStreamState::onEnd()
{
    if (m_reader.isPartial()) {
        fail(Error(ErrorKind::ConnectionLost, "peer ended the stream in the middle of a message"));
        return;
    }
    m_ended = true;
    m_changed.notify();
}

void ClientStreamState::onClosed(std::uint32_t code)
{
    if (m_ended) {
        return;
    }
    if (code == NGHTTP2_REFUSED_STREAM) {
        fail(Error(ErrorKind::Unavailable, "peer refused the stream").withNotRun());
        return;
    }
    const Error lost(ErrorKind::ConnectionLost, "peer reset the stream or the connection broke");
    fail(m_requestSent ? lost : lost.withNotRun());
}

boost::asio::awaitable<Result<std::optional<std::string>>> ClientStreamState::next()
{
    const auto self = shared_from_this();
    while (!m_reader.hasMessage() && !m_ended && !m_error) {
        co_await m_changed.wait();
    }
    if (m_error && m_error->kind() == ErrorKind::Cancelled) {
        co_return *m_error;
    }
    if (auto message = m_reader.take()) {
        consumeReceived();
        co_return message;
    }
    if (m_ended) {
        co_return std::optional<std::string>();
    }
    co_return *m_error;
}

void ClientStreamState::cancel()
{
    const bool isOver = m_ended || m_error;
    if (!isOver) {
        fail(Error(ErrorKind::Cancelled, "the request was cancelled"));
        if (const auto session = m_session.lock()) {
            session->reset(m_id, NGHTTP2_CANCEL);
        }
    }
}

void ClientStreamState::fail(Error error)
{
    if (!m_error) {
        m_error = std::move(error);
    }
    m_changed.notify();
}

void ClientStreamState::consumeReceived()
{
    if (m_reader.hasMessage() && !m_error) {
        return;
    }
    if (const auto session = m_session.lock()) {
        session->consume(m_id, std::exchange(m_unconsumedBytes, 0));
    }
}

} // namespace basilhall::transport
