// Runs the agent of one endpoint: admits each dispatch once, queues it, forwards it to the
// endpoint, and frees the cache entries of programs that have ended.
//
//     Agent agent(endpoint, addresses, self, logs);
//     agent.run();       // returns after drain()
#pragma once

#include "basilhall/agent/endpoint.h"
#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"

#include <memory>

namespace basilhall::logging
{
class LogSystem;
}

namespace basilhall::agent
{

// Listen addresses of an agent. Port 0 selects a free port.
struct AgentAddresses {
    Address peers;
    Address operators;
};

// Uses one thread for the control state and another one for the traffic.
class Agent
{
public:
    // `self` identifies this run and must be newly generated and random. `logs` must outlive the
    // agent. Throws boost::system::system_error if an address cannot be bound.
    Agent(const Endpoint &endpoint, const AgentAddresses &addresses, Incarnation self,
          logging::LogSystem &logs);
    ~Agent();
    Agent(const Agent &) = delete;
    Agent &operator=(const Agent &) = delete;

    Address peerAddress() const;
    Address operatorAddress() const;

    // Runs on the calling thread and one additional thread. Returns once the agent has drained.
    void run();
    // Refuses new calls, waits for the running ones and then makes run() return. Thread-safe.
    void drain();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace basilhall::agent
