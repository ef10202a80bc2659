// State of one client stream, shared by the session and the stream handle of the caller.
//
//     auto state = std::make_shared<ClientStreamState>(session, request);
//     state->setId(streamId);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/transport/internal/client_session.h"
#include "basilhall/transport/internal/message_codec.h"

namespace basilhall::transport
{

// Not thread-safe.
class ClientStreamState : public std::enable_shared_from_this<ClientStreamState>
{
public:
    ClientStreamState(const std::shared_ptr<ClientSession> &session, std::string request);

    void setId(std::int32_t id) { m_id = id; }

    // Copies the next bytes of the request to `out`. Sets `end` to true once all are copied.
    std::size_t readRequest(std::uint8_t *out, std::size_t size, bool &end);
    bool isRequestSent() const { return m_requestSent; }

    // Events of the session.
    void onStatus(std::string_view status);
    void onData(std::string_view bytes);
    void onEnd();
    void onClosed(std::uint32_t code);

    boost::asio::awaitable<Result<std::optional<std::string>>> next();
    void cancel();

private:
    void fail(Error error);
    // Updates the flow-control window for the received bytes, unless complete messages are unread.
    void consumeReceived();

    std::weak_ptr<ClientSession> m_session;
    Signal m_changed;
    std::int32_t m_id = 0;
    std::string m_request;
    std::size_t m_requestOffset = 0;
    bool m_requestSent = false;
    MessageReader m_reader;
    std::size_t m_unconsumedBytes = 0;
    bool m_ended = false;
    std::optional<Error> m_error;
};

} // namespace basilhall::transport
