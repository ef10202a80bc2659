// Interface of a single call to the endpoint.
//
//     Result<wire::Answer> answer = co_await call->run(sink);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/wire/wire.pb.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace basilhall::agent
{

// Receives one part of a streamed answer. Suspends while the reader applies backpressure.
using ChunkSink = std::function<boost::asio::awaitable<void>(std::string)>;

// Not thread-safe. Each instance runs one call once.
class EndpointCall
{
public:
    virtual ~EndpointCall() = default;

    // Returns the complete answer. An error has notRun() only if the endpoint cannot have received
    // the request. Returns OutcomeUnknown if a non-idempotent call may have run.
    virtual boost::asio::awaitable<Result<wire::Answer>> run(ChunkSink sink) = 0;
    // Closes the connection to the endpoint, which makes run() return soon.
    virtual void cancel() = 0;
};

} // namespace basilhall::agent
