// Handles the requests of other entry hosts.
//
//     PeerService service(control, owner, limits, client, handlers);
//     co_await service.handle(stream); // for each stream that a peer opens
#pragma once

#include "basilhall/entry/limit_gate.h"
#include "basilhall/entry/owner_driver.h"
#include "basilhall/transport/server_stream.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/wire/wire.pb.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

namespace basilhall::entry
{

// Runs on one traffic thread.
class PeerService
{
public:
    // Run on the control thread: return the parts of the manifest in force, and answer a ping.
    struct ControlHandlers {
        std::function<std::vector<wire::ManifestPart>(const wire::ManifestRequest &)> manifest;
        std::function<wire::PingReply(const wire::PingRequest &)> ping;
    };

    PeerService(boost::asio::any_io_executor control, OwnerDriver &owner, LimitGate &limits,
                transport::StreamClient &client, ControlHandlers handlers);

    boost::asio::awaitable<void> handle(std::shared_ptr<transport::ServerStream> stream);

private:
    boost::asio::awaitable<void> handleCall(transport::ServerStream &stream);
    boost::asio::awaitable<void> handleManifest(transport::ServerStream &stream);

    boost::asio::any_io_executor m_control;
    OwnerDriver &m_owner;
    LimitGate &m_limits;
    transport::StreamClient &m_client;
    ControlHandlers m_handlers;
};

} // namespace basilhall::entry
