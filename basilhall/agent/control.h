// The control state of an agent: running and queued calls, the programs cached by the engine, and
// the load reports sent to owners.
//
//     Control control(executor, endpoint, self, log, metrics, health, outputs);
//     control.start();
#pragma once

#include "basilhall/agent/endpoint.h"
#include "basilhall/agent/session_table.h"
#include "basilhall/dispatch/registry.h"
#include "basilhall/logging/log.h"
#include "basilhall/schedule/fair_queue.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace basilhall::metrics
{
class Health;
class Registry;
} // namespace basilhall::metrics

namespace basilhall::agent
{

// Callbacks that pass requests to the traffic thread. Each is called on the control thread.
struct ControlOutputs {
    std::function<void(dispatch::Actions)> carryOut;
    std::function<void(wire::LoadReport)> publish;
    // Asks the engine to free the program. The result arrives through sessionFreed() or
    // sessionFreeFailed().
    std::function<void(Session)> freeSession;
};

// Not thread-safe: use only from its executor (the control thread).
class Control
{
public:
    // `metrics` and `health` must outlive this object. `outputs` are not called before start().
    Control(const boost::asio::any_io_executor &executor, const Endpoint &endpoint,
            Incarnation self, logging::Log log, metrics::Registry &metrics, metrics::Health &health,
            ControlOutputs outputs);
    ~Control();
    Control(const Control &) = delete;
    Control &operator=(const Control &) = delete;

    // Publishes the first report and starts the timers.
    void start();
    // Stops the timers.
    void stop();

    // Events from the traffic thread; see dispatch::Registry.
    void dispatch(dispatch::StreamNumber stream, const dispatch::Dispatch &dispatch);
    void abandoned(dispatch::StreamNumber stream);
    void finished(const CallId &callId, const Result<wire::Answer> &result);
    dispatch::Resolution resolve(const wire::ResolveRequest &request);
    void release(const wire::ReleaseRequest &request);

    // The engine reported how many tokens of the program it has cached.
    void sessionTokensReported(const ProgramId &program, std::uint64_t tokens);
    void sessionFreed(const ProgramId &program, Instant sent);
    void sessionFreeFailed(const ProgramId &program);
    // The result of a health check of the endpoint.
    void endpointHealthReported(bool isHealthy);

    // Refuses new and queued calls and publishes a report that notifies the owners.
    void drain();
    // Returns true if no call is running or queued.
    bool isIdle() const;
    // Returns a JSON document for operators.
    std::string status() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace basilhall::agent
