#include "basilhall/agent/engine_call.h"

#include "basilhall/agent/completion_builder.h"
#include "basilhall/agent/internal/body.h"
#include "basilhall/agent/sse_parser.h"

#include <algorithm>

namespace basilhall::agent
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view kFinalEvent = "[DONE]";
constexpr std::string_view kEventStream = "text/event-stream";
// Maximum time between two parts of an answer.
constexpr Duration kMaxIdleTime = std::chrono::seconds(60);
// Time to wait for the end of the body after the final event. A complete body lets the connection
// be reused.
constexpr Duration kEndOfBodyTimeout = std::chrono::milliseconds(200);
constexpr std::size_t kMaxErrorResponseBytes = 64 * 1024;

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooMany = 429;
constexpr int kStatusUnavailable = 503;

std::string priorityName(wire::PriorityClass priority)
{
    switch (priority) {
    case wire::PRIORITY_CLASS_URGENT:
        return "urgent";
    case wire::PRIORITY_CLASS_BATCH:
        return "batch";
    default:
        return "normal";
    }
}

} // namespace

EngineCall::EngineCall(http::Client &client, const Endpoint &endpoint,
                       std::shared_ptr<const wire::DispatchRequest> request,
                       std::chrono::steady_clock::time_point deadline)
    : m_client(client)
    , m_endpoint(endpoint)
    , m_request(std::move(request))
    , m_deadline(deadline)
    , m_cancellation(std::make_shared<http::Cancellation>())
{
}

EngineCall::~EngineCall() = default;

void EngineCall::cancel()
{
    m_cancellation->cancel();
    if (m_stream) {
        m_stream->cancel();
    }
}

http::Request EngineCall::httpRequest() const
{
    http::Request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers = {{"Content-Type", "application/json"},
                       {"Accept", std::string(kEventStream)},
                       {"x-session-id", m_request->program_id()},
                       {"x-request-id", m_request->call_id()},
                       {"x-fencing-token", std::to_string(m_request->epoch())},
                       {"x-priority", priorityName(m_request->priority())}};
    request.body = m_request->body();
    return request;
}

Duration EngineCall::timeLeft() const
{
    return std::max<Duration>(m_deadline - std::chrono::steady_clock::now(), Duration::zero());
}

asio::awaitable<Result<wire::Answer>> EngineCall::run(ChunkSink sink)
{
    http::RequestOptions options;
    options.cancellation = m_cancellation;
    auto stream = co_await m_client.open(m_endpoint.address, httpRequest(), timeLeft(), options);
    if (!stream) {
        co_return stream.error();
    }
    m_stream = std::move(stream).value();
    if (m_stream->status() != kStatusOk) {
        co_return co_await readErrorResponse();
    }
    const auto type = http::findHeader(m_stream->headers(), "Content-Type");
    if (!type || !type->starts_with(kEventStream)) {
        co_return Error(ErrorKind::EndpointFailed,
                        "endpoint answered with a content type other than text/event-stream");
    }
    co_return co_await readEvents(std::move(sink));
}

asio::awaitable<Result<wire::Answer>> EngineCall::readErrorResponse()
{
    const int status = m_stream->status();
    if (status == kStatusConflict && m_endpoint.honoursFencing) {
        co_return Error(ErrorKind::StaleEpoch,
                        "endpoint rejected the fencing token: the program has a newer owner")
            .withNotRun();
    }
    if (status == kStatusTooMany || status == kStatusUnavailable) {
        co_return Error(ErrorKind::Overloaded,
                        "endpoint answered status " + std::to_string(status));
    }
    co_return co_await internal::readAnswer(*m_stream, kMaxErrorResponseBytes, m_deadline);
}

asio::awaitable<Result<wire::Answer>> EngineCall::readEvents(ChunkSink sink)
{
    SseParser parser;
    CompletionBuilder builder;
    while (true) {
        auto part = co_await m_stream->read(std::min(timeLeft(), kMaxIdleTime));
        if (!part) {
            co_return part.error();
        }
        if (!part.value()) {
            co_return Error(ErrorKind::EndpointFailed, "event stream ended before its final event");
        }
        auto events = parser.feed(*part.value());
        if (!events) {
            co_return events.error();
        }
        const Result<bool> done = co_await processEvents(std::move(events).value(), builder, sink);
        if (!done) {
            co_return done.error();
        }
        if (done.value()) {
            (void)co_await m_stream->read(kEndOfBodyTimeout);
            co_return answer(builder);
        }
    }
}

asio::awaitable<Result<bool>> EngineCall::processEvents(std::vector<std::string> events,
                                                        CompletionBuilder &builder, ChunkSink sink)
{
    for (std::string &event : events) {
        if (event == kFinalEvent) {
            co_return true;
        }
        const Result<void> added = builder.add(event);
        if (!added) {
            co_return added.error();
        }
        if (m_request->stream()) {
            co_await sink(std::move(event));
        }
    }
    co_return false;
}

wire::Answer EngineCall::answer(const CompletionBuilder &builder) const
{
    wire::Answer answer;
    answer.set_status(kStatusOk);
    answer.set_content_type("application/json");
    answer.set_body(builder.message());
    answer.set_finish_reason(builder.finishReason());
    *answer.mutable_usage() = builder.usage();
    if (answer.usage().prompt_tokens() == 0) {
        answer.mutable_usage()->set_prompt_tokens(m_request->prompt_tokens());
    }
    return answer;
}

} // namespace basilhall::agent
