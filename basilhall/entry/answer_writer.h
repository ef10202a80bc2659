// Writes the replies to one call to its caller's HTTP connection.
//
//     AnswerWriter writer(exchange, request);
//     const Result<void> written = co_await writer.write(reply); // for each reply
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/http/exchange.h"
#include "basilhall/wire/wire.pb.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace basilhall::entry
{

// A model call's answer has the form of OpenAI chat completions, streamed or whole; a service's
// answer is passed on as it is. A streamed answer ends with `data: [DONE]` only once the turn is
// durable. Not thread-safe.
class AnswerWriter
{
public:
    AnswerWriter(std::shared_ptr<http::Exchange> exchange, const wire::CallRequest &request);

    // Writes one reply. Returns ConnectionLost if the caller has disconnected.
    boost::asio::awaitable<Result<void>> write(wire::CallReply reply);

private:
    boost::asio::awaitable<Result<void>> writeChunk(std::string payload);
    boost::asio::awaitable<Result<void>> writeFinished(const wire::CallFinished &finished);
    boost::asio::awaitable<Result<void>> writeError(const Error &error);
    http::Headers answerHeaders(std::string contentType) const;
    std::string completionDocument(const wire::Answer &answer, bool isChunk) const;

    std::shared_ptr<http::Exchange> m_exchange;
    const bool m_isModel;
    const bool m_isStreamed;
    const std::string m_callId;
    const std::string m_model;
    std::string m_program;
    std::uint64_t m_turn = 0;
    bool m_isReplayed = false;
    bool m_hasBegun = false;
};

} // namespace basilhall::entry
