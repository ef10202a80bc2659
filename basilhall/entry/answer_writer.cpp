#include "basilhall/entry/answer_writer.h"

#include "basilhall/entry/error_response.h"
#include "basilhall/wire/error_codec.h"

#include <boost/json.hpp>

namespace basilhall::entry
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

std::string event(const std::string &payload)
{
    return "data: " + payload + "\n\n";
}

json::value messageOf(const wire::Answer &answer)
{
    boost::system::error_code failure;
    json::value message = json::parse(answer.body(), failure);
    return failure ? json::value(answer.body()) : message;
}

json::object usageOf(const wire::Usage &usage)
{
    return {{"prompt_tokens", usage.prompt_tokens()},
            {"completion_tokens", usage.completion_tokens()},
            {"total_tokens", usage.prompt_tokens() + usage.completion_tokens()},
            {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens()}}}};
}

} // namespace

AnswerWriter::AnswerWriter(std::shared_ptr<http::Exchange> exchange,
                           const wire::CallRequest &request)
    : m_exchange(std::move(exchange))
    , m_isModel(request.kind() == wire::CALL_KIND_MODEL)
    , m_isStreamed(request.stream())
    , m_callId(request.call_id())
    , m_model(request.route())
    , m_program(request.program_id())
{
}

asio::awaitable<Result<void>> AnswerWriter::write(wire::CallReply reply)
{
    switch (reply.event_case()) {
    case wire::CallReply::kStarted:
        m_turn = reply.started().turn();
        co_return success();
    case wire::CallReply::kChunk:
        co_return co_await writeChunk(std::move(*reply.mutable_chunk()));
    case wire::CallReply::kFinished:
        co_return co_await writeFinished(reply.finished());
    case wire::CallReply::kError:
        co_return co_await writeError(wire::fromReply(reply.error()));
    case wire::CallReply::EVENT_NOT_SET:
        break;
    }
    co_return Error(ErrorKind::Internal, "a reply to call \"" + m_callId + "\" is empty");
}

asio::awaitable<Result<void>> AnswerWriter::writeChunk(std::string payload)
{
    if (!m_isModel || !m_isStreamed) {
        co_return success();
    }
    if (!m_hasBegun) {
        m_hasBegun = true;
        const Result<void> begun =
            co_await m_exchange->beginStream(200, answerHeaders("text/event-stream"));
        if (!begun) {
            co_return begun;
        }
    }
    co_return co_await m_exchange->write(event(payload));
}

asio::awaitable<Result<void>> AnswerWriter::writeFinished(const wire::CallFinished &finished)
{
    m_turn = finished.turn();
    m_isReplayed = finished.replayed();
    const wire::Answer &answer = finished.answer();
    if (!m_isModel) {
        http::Response response;
        response.status = answer.status();
        response.headers = answerHeaders(answer.content_type());
        response.body = answer.body();
        co_return co_await m_exchange->respond(std::move(response));
    }
    if (!m_isStreamed) {
        http::Response response;
        response.headers = answerHeaders("application/json");
        response.body = completionDocument(answer, false);
        co_return co_await m_exchange->respond(std::move(response));
    }
    if (!m_hasBegun) {
        const Result<void> written = co_await writeChunk(completionDocument(answer, true));
        if (!written) {
            co_return written;
        }
    }
    const Result<void> written = co_await m_exchange->write(event("[DONE]"));
    if (!written) {
        co_return written;
    }
    co_return co_await m_exchange->endStream();
}

asio::awaitable<Result<void>> AnswerWriter::writeError(const Error &error)
{
    if (!m_hasBegun) {
        http::Response response = errorResponse(error);
        response.headers.push_back({"X-Basilhall-Program", m_program});
        response.headers.push_back({"X-Basilhall-Call", m_callId});
        co_return co_await m_exchange->respond(std::move(response));
    }
    // The caller already has part of the answer. Send the error, then abort the stream so that no
    // client mistakes the partial answer for a complete one.
    (void)co_await m_exchange->write(event(errorDocument(error)));
    m_exchange->abort();
    co_return success();
}

http::Headers AnswerWriter::answerHeaders(std::string contentType) const
{
    http::Headers headers{{"Content-Type", std::move(contentType)},
                          {"X-Basilhall-Program", m_program},
                          {"X-Basilhall-Turn", std::to_string(m_turn)},
                          {"X-Basilhall-Call", m_callId}};
    if (m_isReplayed) {
        headers.push_back({"X-Basilhall-Replayed", "true"});
    }
    return headers;
}

std::string AnswerWriter::completionDocument(const wire::Answer &answer, bool isChunk) const
{
    const std::string &reason = answer.finish_reason();
    json::object choice{{"index", 0}, {"finish_reason", reason.empty() ? "stop" : reason}};
    choice[isChunk ? "delta" : "message"] = messageOf(answer);
    json::object document{{"id", m_callId},
                          {"object", isChunk ? "chat.completion.chunk" : "chat.completion"},
                          {"model", m_model},
                          {"choices", json::array{std::move(choice)}},
                          {"usage", usageOf(answer.usage())}};
    return json::serialize(document);
}

} // namespace basilhall::entry
