// Runs a streamed chat completion on a model engine.
//
//     EngineCall call(client, endpoint, request, deadline);
//     Result<wire::Answer> answer = co_await call.run(sink);
#pragma once

#include "basilhall/agent/endpoint.h"
#include "basilhall/agent/endpoint_call.h"
#include "basilhall/http/client.h"

#include <chrono>
#include <memory>

namespace basilhall::agent
{

class CompletionBuilder;

class EngineCall : public EndpointCall
{
public:
    // `client` must outlive the call.
    EngineCall(http::Client &client, const Endpoint &endpoint,
               std::shared_ptr<const wire::DispatchRequest> request,
               std::chrono::steady_clock::time_point deadline);
    ~EngineCall() override;

    // Passes the data of each event to the sink unchanged, except for the final "[DONE]" event.
    boost::asio::awaitable<Result<wire::Answer>> run(ChunkSink sink) override;
    void cancel() override;

private:
    http::Request httpRequest() const;
    Duration timeLeft() const;
    boost::asio::awaitable<Result<wire::Answer>> readErrorResponse();
    boost::asio::awaitable<Result<wire::Answer>> readEvents(ChunkSink sink);
    // Processes the events of one body part. Returns true after the final event.
    boost::asio::awaitable<Result<bool>> processEvents(std::vector<std::string> events,
                                                       CompletionBuilder &builder, ChunkSink sink);
    wire::Answer answer(const CompletionBuilder &builder) const;

    http::Client &m_client;
    const Endpoint m_endpoint;
    const std::shared_ptr<const wire::DispatchRequest> m_request;
    const std::chrono::steady_clock::time_point m_deadline;
    const std::shared_ptr<http::Cancellation> m_cancellation;
    std::unique_ptr<http::ResponseStream> m_stream;
};

} // namespace basilhall::agent
