// Lets a kept turn be whole although its caller has continued its stream: tells other gateways what
// the stream says before the caller gets it, and looks it up for the rest of a stream.
//
//     StreamOutputs outputs(executor, state, {keepers, asked, request}, log);
//     Result<void> ready = co_await outputs.prepare(context);
//     co_await outputs.share(context);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/logging/log.h"
#include "basilhall/resumption/stream_output.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace basilhall::gateway
{

struct CallContext;

// Access to the other gateways; see PeerMesh.
struct OutputPeers {
    // The gateways that are told what the stream says, among those in the allowed regions.
    std::function<std::vector<HostName>(const CallId &stream,
                                        const std::vector<std::string> &allowedRegions)>
        keepers;
    // The gateways that may have been told.
    std::function<std::vector<HostName>(const CallId &stream)> asked;
    // Sends one request and returns the reply, if it arrives in time.
    std::function<boost::asio::awaitable<std::optional<std::string>>(
        HostName peer, std::string method, std::string message, Duration timeout)>
        request;
};

// Not thread-safe. `state` must outlive it and its coroutines.
class StreamOutputs
{
public:
    StreamOutputs(const boost::asio::any_io_executor &executor, FleetState &state,
                  OutputPeers peers, logging::Log log);

    // Starts to record what a turn says that its caller may continue. For the rest of a turn, adds
    // what was said before; Unavailable with notRun() if no gateway knows it.
    boost::asio::awaitable<Result<void>> prepare(std::shared_ptr<CallContext> context);
    // Tells others what the turn has said since the last call. Returns once one of them has it, or
    // none has answered in time.
    boost::asio::awaitable<void> share(std::shared_ptr<CallContext> context);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
