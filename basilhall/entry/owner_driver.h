// Drives the owner on this host: passes calls to it and performs its actions.
//
// The owner lives on the control thread. Answer chunks do not pass through it: the caller's traffic
// thread reads them from the agent and writes them to the caller.
//
//     co_await driver.runCall(std::move(request), sink, interrupt, client);
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/entry/interrupt.h"
#include "basilhall/entry/reply_sink.h"
#include "basilhall/owner/owner.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/wire/wire.pb.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace basilhall::entry
{

class AgentDirectory;

class OwnerDriver
{
public:
    // `control` is the executor of the control thread and `controlClient` its client. `wake`
    // requests that the control loop calls pump() soon; it is called on the control thread.
    OwnerDriver(boost::asio::any_io_executor control, owner::Owner &owner, AgentDirectory &agents,
                transport::StreamClient &controlClient, std::function<Instant()> now,
                std::function<void()> wake);
    ~OwnerDriver();
    OwnerDriver(const OwnerDriver &) = delete;
    OwnerDriver &operator=(const OwnerDriver &) = delete;

    // Control thread. Performs the pending actions of the owner.
    void pump();

    // Any thread. Runs a call at the owner. `sink` receives its replies on the caller's executor;
    // the last one is a CallFinished or an error. `client` belongs to the caller's thread.
    boost::asio::awaitable<void> runCall(wire::CallRequest request, ReplySink sink,
                                         Interrupt &interrupt, transport::StreamClient &client);
    // Any thread. Returns the status or history of a program, or ends it.
    boost::asio::awaitable<wire::ProgramReply> runProgramRequest(wire::ProgramRequest request);

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::entry
