// Tracks one dispatch at an agent, from its arrival until its final reply has been sent.
//
//     const Decision decision = co_await stream.decision();
//     co_await stream.finish(result);
#pragma once

#include "basilhall/dispatch/action.h"
#include "basilhall/transport/server_stream.h"
#include "basilhall/transport/signal.h"
#include "basilhall/wire/wire.pb.h"

#include <chrono>
#include <memory>
#include <variant>

namespace basilhall::agent
{

// The decision of Control about a dispatch; std::monostate until there is one.
using Decision = std::variant<std::monostate, dispatch::Start, dispatch::Refuse, dispatch::Replay>;

// Not thread-safe.
class DispatchStream
{
public:
    DispatchStream(const boost::asio::any_io_executor &executor, dispatch::StreamNumber number,
                   std::shared_ptr<transport::ServerStream> stream,
                   std::shared_ptr<const wire::DispatchRequest> request);

    dispatch::StreamNumber number() const { return m_number; }
    const std::shared_ptr<const wire::DispatchRequest> &request() const { return m_request; }
    std::chrono::steady_clock::time_point deadline() const { return m_deadline; }

    // Sets the decision. Later decisions are ignored.
    void decide(Decision decision);
    // Waits for the decision.
    boost::asio::awaitable<Decision> decision();

    boost::asio::awaitable<void> sendStarted(wire::LoadReport load);
    boost::asio::awaitable<void> sendChunk(std::string chunk);
    // Sends the final reply and ends the stream.
    boost::asio::awaitable<void> finish(Result<wire::Answer> result);

private:
    boost::asio::awaitable<bool> send(const wire::DispatchReply &reply);

    const dispatch::StreamNumber m_number;
    const std::shared_ptr<transport::ServerStream> m_stream;
    const std::shared_ptr<const wire::DispatchRequest> m_request;
    const std::chrono::steady_clock::time_point m_deadline;
    transport::Signal m_decided;
    Decision m_decision;
};

// Converts a request to the form that dispatch::Registry uses. `now` is the arrival time.
dispatch::Dispatch toDispatch(const wire::DispatchRequest &request, Instant now);

// Returns InvalidRequest with notRun() if a required field is missing or out of range.
Result<void> checkRequest(const wire::DispatchRequest &request);

} // namespace basilhall::agent
