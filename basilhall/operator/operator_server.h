// The operator endpoint of a process:
//
//     GET /status             JSON document on the process
//     GET /metrics            text format of Prometheus
//     GET /livez, /readyz     200, or 503 with what is missing
//     GET /programs/PROGRAM   where a program is and what it waits for
//     GET /audit              the last audit records of the process, as a JSON array
//     GET, PUT /log-level     the level of the log; PUT takes its name as the body
//
//     OperatorServer server(executor, settings.operatorListen, registry, health, logs, reports);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/operator/reports.h"

#include <boost/asio/any_io_executor.hpp>
#include <memory>

namespace basilhall::logging
{
class LogSystem;
}

namespace basilhall::metrics
{
class Health;
class Registry;
} // namespace basilhall::metrics

namespace basilhall::operators
{

// Not thread-safe: use from its executor, which one thread runs. Reports are asked for on that
// thread. The references must outlive it.
class OperatorServer
{
public:
    // Port 0 takes a free one. Throws boost::system::system_error if the address cannot be bound.
    OperatorServer(const boost::asio::any_io_executor &executor, const Address &address,
                   metrics::Registry &registry, const metrics::Health &health,
                   logging::LogSystem &logs, Reports reports);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    Address address() const;
    // Closes the listener and all connections.
    void close();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace basilhall::operators
