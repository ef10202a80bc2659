#include "basilhall/agent/service_call.h"

#include "basilhall/agent/internal/body.h"

#include <algorithm>

namespace basilhall::agent
{

namespace asio = boost::asio;

ServiceCall::ServiceCall(http::Client &client, const Endpoint &endpoint,
                         std::shared_ptr<const wire::DispatchRequest> request,
                         std::chrono::steady_clock::time_point deadline)
    : m_client(client)
    , m_endpoint(endpoint)
    , m_request(std::move(request))
    , m_deadline(deadline)
    , m_cancellation(std::make_shared<http::Cancellation>())
{
}

void ServiceCall::cancel()
{
    m_cancellation->cancel();
    if (m_stream) {
        m_stream->cancel();
    }
}

http::Request ServiceCall::httpRequest() const
{
    http::Request request;
    request.method = m_request->http_method();
    request.target = m_request->path();
    request.headers = {{"x-call-id", m_request->call_id()},
                       {"x-fencing-token", std::to_string(m_request->epoch())}};
    if (!m_request->idempotency_key().empty()) {
        request.headers.push_back({"Idempotency-Key", m_request->idempotency_key()});
    }
    if (!m_request->body().empty()) {
        request.headers.push_back({"Content-Type", "application/json"});
    }
    request.body = m_request->body();
    return request;
}

asio::awaitable<Result<wire::Answer>> ServiceCall::run(ChunkSink)
{
    http::RequestOptions options;
    options.newConnection = !m_request->idempotent();
    options.cancellation = m_cancellation;
    const Duration left = m_deadline - std::chrono::steady_clock::now();
    auto stream = co_await m_client.open(m_endpoint.address, httpRequest(),
                                         std::max<Duration>(left, Duration::zero()), options);
    if (!stream) {
        co_return toCallError(stream.error());
    }
    m_stream = std::move(stream).value();
    auto answer = co_await internal::readAnswer(*m_stream, kMaxAnswerBytes, m_deadline);
    if (!answer) {
        co_return toCallError(answer.error());
    }
    co_return answer;
}

Error ServiceCall::toCallError(const Error &error) const
{
    if (error.notRun() || m_request->idempotent()) {
        return error;
    }
    return {ErrorKind::OutcomeUnknown, "call may have run: " + error.message()};
}

} // namespace basilhall::agent
