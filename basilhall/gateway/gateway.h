// One gateway: what it believes, its peers, its journal, and the sockets callers connect to.
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

// Not thread-safe: use from its executor.
class Gateway
{
public:
    // Reads the configuration as the platform encodes it.
    using PolicyDecoder = std::function<Result<fleet::PolicyPtr>(const std::string &)>;

    // Takes the ports. Throws boost::system::system_error if one cannot be bound. The log system
    // and the registry must outlive it.
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
    // What to call when the object API tells of changes.
    FleetEvents events();

    // Takes callers' requests, joins the peers, and loads what was kept.
    void start(http::Server::Handler serve);
    // Stops taking requests, ends those that run, and calls `done` once.
    void drain(std::function<void()> done);
    bool isReady() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
