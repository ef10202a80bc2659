// Tracks the agents of the endpoints: their load and the programs that their endpoints cache.
// Chooses the endpoint for a call.
//
//     directory.setManifest(manifest);
//     const Result<owner::EndpointChoice> choice = directory.choose(needs, now);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/logging/log.h"
#include "basilhall/manifest/manifest.h"
#include "basilhall/owner/call_needs.h"
#include "basilhall/owner/endpoint_choice.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/wire/wire.pb.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace basilhall::entry
{

// Control thread only. Keeps one load stream open to each agent.
class AgentDirectory
{
public:
    // Called with the programs that are cached at the endpoint of `agent`.
    using CachedHandler = std::function<void(const Address &agent, std::span<const ProgramId>)>;

    AgentDirectory(boost::asio::any_io_executor control, transport::StreamClient &client,
                   HostName self, FailureDomain domain, std::function<Instant()> now,
                   std::uint64_t seed, logging::Log log);
    ~AgentDirectory();
    AgentDirectory(const AgentDirectory &) = delete;
    AgentDirectory &operator=(const AgentDirectory &) = delete;

    void onCachedPrograms(CachedHandler handler);
    // Connects to the agents of new endpoints and disconnects from those of removed endpoints.
    void setManifest(manifest::ManifestPtr manifest);

    // Returns Unavailable, marked as not run, if no endpoint that serves the call accepts work.
    Result<owner::EndpointChoice> choose(const owner::CallNeeds &needs, Instant now);
    // Records that a dispatch was sent, and that it ended.
    void dispatchSent(const EndpointName &endpoint, const wire::DispatchRequest &request,
                      Instant now);
    void dispatchEnded(const std::string &dispatchId, const Result<wire::Answer> &result);

    // Returns the latest report of each agent that has sent one.
    std::vector<wire::LoadReport> reports() const;
    // Closes all streams.
    void close();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::entry
