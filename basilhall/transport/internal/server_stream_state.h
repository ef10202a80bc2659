// State of one server stream, shared by the session and the handler.
//
//     auto state = std::make_shared<ServerStreamState>(session, streamId);
//     state->setMethod("/dispatch");
#pragma once

#include "basilhall/transport/internal/server_session.h"
#include "basilhall/transport/server_stream.h"

namespace basilhall::transport
{

// Not thread-safe.
class ServerStreamState : public ServerStream,
                          public std::enable_shared_from_this<ServerStreamState>
{
public:
    ServerStreamState(const std::shared_ptr<ServerSession> &session, std::int32_t id);

    const std::string &method() const override { return m_method; }
    const std::string &request() const override { return m_request; }
    boost::asio::awaitable<Result<void>> send(std::string message) override;
    boost::asio::awaitable<Result<void>> finish() override;
    void onCancelled(std::function<void()> handler) override;

    // Events of the session.
    void setMethod(std::string_view method) { m_method = method; }
    void append(std::string_view bytes) { m_request.append(bytes); }
    // Marks the request as completely received.
    void setComplete() { m_complete = true; }
    bool isComplete() const { return m_complete; }
    void onClosed();
    // Called when the handler has returned. Resets the stream unless it was finished.
    void onHandlerReturned();

    // Copies the next bytes of the replies to `out`. Sets `end` to true once all are copied and the
    // stream is finished.
    std::size_t readReplies(std::uint8_t *out, std::size_t size, bool &end);

private:
    // Submits the response header, or resumes a stream that was deferred for lack of data.
    void resume();
    std::size_t pendingBytes() const { return m_replies.size() - m_offset; }

    std::weak_ptr<ServerSession> m_session;
    Signal m_changed;
    const std::int32_t m_id;
    std::string m_method;
    std::string m_request;
    std::string m_replies;
    std::size_t m_offset = 0;
    bool m_complete = false;
    bool m_headerSubmitted = false;
    bool m_finished = false;
    bool m_endSent = false;
    bool m_closed = false;
    std::function<void()> m_cancelHandler;
};

} // namespace basilhall::transport
