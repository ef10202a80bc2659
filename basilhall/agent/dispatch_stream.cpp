#include "basilhall/agent/dispatch_stream.h"

#include "basilhall/wire/error_codec.h"

#include <algorithm>

namespace basilhall::agent
{

namespace asio = boost::asio;

namespace
{

constexpr std::int64_t kMaxTimeoutMs = 24LL * 60 * 60 * 1000;
constexpr std::int64_t kMaxAgeMs = 365LL * 24 * 60 * 60 * 1000;
// Upper bound of the estimated answer length, in tokens, that the queue order uses until the answer
// is known.
constexpr std::uint64_t kExpectedAnswerTokens = 256;

std::chrono::milliseconds timeoutOf(const wire::DispatchRequest &request)
{
    return std::chrono::milliseconds(
        std::clamp<std::int64_t>(request.timeout_ms(), 0, kMaxTimeoutMs));
}

std::chrono::milliseconds ageOf(const wire::DispatchRequest &request)
{
    return std::chrono::milliseconds(std::min(request.program_age_ms(), kMaxAgeMs));
}

schedule::PriorityClass priorityOf(const wire::DispatchRequest &request)
{
    switch (request.priority()) {
    case wire::PRIORITY_CLASS_URGENT:
        return schedule::PriorityClass::Urgent;
    case wire::PRIORITY_CLASS_BATCH:
        return schedule::PriorityClass::Batch;
    default:
        return schedule::PriorityClass::Normal;
    }
}

Error missingField(std::string_view field)
{
    return Error(ErrorKind::InvalidRequest, "dispatch has no \"" + std::string(field) + "\"")
        .withNotRun();
}

} // namespace

dispatch::Dispatch toDispatch(const wire::DispatchRequest &request, Instant now)
{
    dispatch::Dispatch dispatch;
    dispatch.item.callId = CallId(request.call_id());
    dispatch.item.program = ProgramId(request.program_id());
    dispatch.item.team = TeamName(request.team());
    dispatch.item.weight = std::max(request.team_weight(), 1U);
    dispatch.item.priority = priorityOf(request);
    dispatch.item.attainedTokens = request.attained_tokens();
    dispatch.item.estimatedTokens =
        request.prompt_tokens() + std::min(request.max_completion_tokens(), kExpectedAnswerTokens);
    dispatch.item.deadline = now + timeoutOf(request);
    dispatch.item.enqueued = now;
    if (request.program_age_ms() > 0) {
        dispatch.item.programStarted = now - ageOf(request);
    }
    dispatch.shard = request.shard();
    dispatch.epoch = request.epoch();
    dispatch.agentIncarnation = Incarnation(request.agent_incarnation());
    dispatch.idempotent = request.idempotent();
    return dispatch;
}

Result<void> checkRequest(const wire::DispatchRequest &request)
{
    if (request.call_id().empty()) {
        return missingField("call_id");
    }
    if (request.program_id().empty()) {
        return missingField("program_id");
    }
    if (request.kind() == wire::CALL_KIND_SERVICE && request.http_method().empty()) {
        return missingField("http_method");
    }
    const bool isKnown =
        request.kind() == wire::CALL_KIND_MODEL || request.kind() == wire::CALL_KIND_SERVICE;
    return isKnown ? Result<void>(success()) : Result<void>(missingField("kind"));
}

DispatchStream::DispatchStream(const asio::any_io_executor &executor, dispatch::StreamNumber number,
                               std::shared_ptr<transport::ServerStream> stream,
                               std::shared_ptr<const wire::DispatchRequest> request)
    : m_number(number)
    , m_stream(std::move(stream))
    , m_request(std::move(request))
    , m_deadline(std::chrono::steady_clock::now() + timeoutOf(*m_request))
    , m_decided(executor)
{
}

void DispatchStream::decide(Decision decision)
{
    if (std::holds_alternative<std::monostate>(m_decision)) {
        m_decision = std::move(decision);
        m_decided.notify();
    }
}

asio::awaitable<Decision> DispatchStream::decision()
{
    while (std::holds_alternative<std::monostate>(m_decision)) {
        co_await m_decided.wait();
    }
    co_return m_decision;
}

asio::awaitable<void> DispatchStream::sendStarted(wire::LoadReport load)
{
    wire::DispatchReply reply;
    *reply.mutable_started()->mutable_load() = std::move(load);
    reply.mutable_started()->mutable_load()->clear_cached();
    (void)co_await send(reply);
}

asio::awaitable<void> DispatchStream::sendChunk(std::string chunk)
{
    wire::DispatchReply reply;
    reply.set_chunk(std::move(chunk));
    (void)co_await send(reply);
}

asio::awaitable<void> DispatchStream::finish(Result<wire::Answer> result)
{
    wire::DispatchReply reply;
    if (result) {
        *reply.mutable_finished() = std::move(result).value();
    } else {
        *reply.mutable_error() = wire::toReply(result.error());
    }
    if (co_await send(reply)) {
        (void)co_await m_stream->finish();
    }
}

asio::awaitable<bool> DispatchStream::send(const wire::DispatchReply &reply)
{
    const Result<void> sent = co_await m_stream->send(reply.SerializeAsString());
    co_return sent.has_value();
}

} // namespace basilhall::agent
