// Serves the streams of owners and forwards their calls to the endpoint.
//
//     Traffic traffic(executor, endpoint, listen, control, controlExecutor, log);
//     traffic.start();
#pragma once

#include "basilhall/agent/endpoint.h"
#include "basilhall/agent/session_table.h"
#include "basilhall/base/address.h"
#include "basilhall/dispatch/action.h"
#include "basilhall/logging/log.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

namespace basilhall::agent
{

class Control;

// Not thread-safe: use only from its executor (the traffic thread). Calls Control on the executor
// of Control.
class Traffic
{
public:
    // Listens on `listen`. Throws boost::system::system_error if it cannot be bound. `control`
    // must outlive it.
    Traffic(const boost::asio::any_io_executor &executor, const Endpoint &endpoint,
            const Address &listen, Control &control,
            const boost::asio::any_io_executor &controlExecutor, logging::Log log);
    ~Traffic();
    Traffic(const Traffic &) = delete;
    Traffic &operator=(const Traffic &) = delete;

    Address address() const;
    // Starts monitoring the endpoint.
    void start();

    // Requests of Control; see ControlOutputs.
    void carryOut(const dispatch::Actions &actions);
    void publish(wire::LoadReport report);
    void freeSession(const Session &session);

    // Ends the load streams, waits up to 5 s for the peers to disconnect, closes the server and
    // then calls `done`.
    void shutDown(std::function<void()> done);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::agent
