// Forwards a request to a plain service or a tool service.
//
//     ServiceCall call(client, endpoint, request, deadline);
//     Result<wire::Answer> answer = co_await call.run(sink);
#pragma once

#include "basilhall/agent/endpoint.h"
#include "basilhall/agent/endpoint_call.h"
#include "basilhall/http/client.h"

#include <chrono>
#include <memory>

namespace basilhall::agent
{

// Maximum size of the answer body of a service, in bytes.
inline constexpr std::size_t kMaxAnswerBytes = 4 * 1024 * 1024;

class ServiceCall : public EndpointCall
{
public:
    // `client` must outlive the call.
    ServiceCall(http::Client &client, const Endpoint &endpoint,
                std::shared_ptr<const wire::DispatchRequest> request,
                std::chrono::steady_clock::time_point deadline);

    // Never calls the sink.
    boost::asio::awaitable<Result<wire::Answer>> run(ChunkSink sink) override;
    void cancel() override;

private:
    http::Request httpRequest() const;
    // Turns an error of a non-idempotent call that may have run into OutcomeUnknown.
    Error toCallError(const Error &error) const;

    http::Client &m_client;
    const Endpoint m_endpoint;
    const std::shared_ptr<const wire::DispatchRequest> m_request;
    const std::chrono::steady_clock::time_point m_deadline;
    const std::shared_ptr<http::Cancellation> m_cancellation;
    std::unique_ptr<http::ResponseStream> m_stream;
};

} // namespace basilhall::agent
