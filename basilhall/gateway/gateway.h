// One gateway process: its view of the fleet, its connections to peers, its journal, and the server
// that callers connect to.
//
//     Gateway gateway(context.get_executor(), settings, parts);
//     Forwarder<Dialect> forwarder(client, gateway.state(), gateway.keeper(), ...);
//     gateway.start([&](auto exchange) { return forwarder.serve(std::move(exchange)); });
//     // on SIGTERM
//     gateway.drain([&] { context.stop(); });
#pragma once

#include "basilhall/gateway/fleet_events.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/internal/call_log.h"
#include "basilhall/gateway/store_access.h"
#include "basilhall/gateway/turn_keeper.h"
#include "basilhall/http/server.h"
#include "basilhall/settings/gateway_settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

namespace basilhall::logging
{
class LogSystem;
}

namespace basilhall::gateway
{

class PeerMesh;

// Not thread-safe: use from its executor.
class Gateway
{
public:
    // Decodes the configuration from the encoding of the platform.
    using PolicyDecoder = std::function<Result<fleet::PolicyPtr>(const std::string &)>;

    // Binds the ports. Throws boost::system::system_error if one cannot be bound. The log system
    // and the registry must outlive the gateway.
    Gateway(const boost::asio::any_io_executor &executor, settings::GatewaySettings settings,
            Incarnation incarnation, StoreAccess access, PolicyDecoder decoder,
            logging::LogSystem &logs, metrics::Registry &registry);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    FleetState &state();
    TurnKeeper &keeper();
    CallLog &callLog();
    PeerMesh &mesh();
    // Returns the handlers to call when objects of the object API change.
    FleetEvents events();
    // True if this gateway should watch the object API itself. The others fetch what changes from
    // their peers.
    bool shouldWatchStore() const;
    // Maximum pause between attempts to reach the object API: longer for gateways that do not
    // watch it while enough of their peers do.
    Duration maxWatchRetryDelay() const;

    // Starts serving callers, registers with the peers, and loads the kept turns and spending.
    void start(http::Server::Handler serve);
    // Stops accepting requests, waits for those in progress, and calls `done` once.
    void drain(std::function<void()> done);
    bool isReady() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
