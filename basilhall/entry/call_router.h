// Routes calls and program requests to the owner of their program, on this host or on a peer.
//
//     co_await router.run(std::move(request), sink, interrupt);
#pragma once

#include "basilhall/entry/interrupt.h"
#include "basilhall/entry/owner_driver.h"
#include "basilhall/entry/reply_sink.h"
#include "basilhall/entry/routing_view.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/wire/wire.pb.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace basilhall::entry
{

// Used by one traffic thread. If ownership moves before any chunk has been relayed to the caller,
// the call is retried with the new owner for a few seconds; its call id prevents it from running
// twice.
class CallRouter
{
public:
    CallRouter(OwnerDriver &owner, transport::StreamClient &client,
               std::function<RoutingViewPtr()> view, std::function<Instant()> now);

    // `sink` receives the replies; the last one is a CallFinished or an error.
    boost::asio::awaitable<void> run(wire::CallRequest request, ReplySink sink,
                                     Interrupt &interrupt);
    boost::asio::awaitable<wire::ProgramReply> runProgramRequest(wire::ProgramRequest request);

private:
    class Attempt;

    boost::asio::awaitable<void> runOnPeer(const wire::CallRequest &request, Address peer,
                                           Attempt &attempt, Interrupt &interrupt);
    boost::asio::awaitable<void> pause();

    OwnerDriver &m_owner;
    transport::StreamClient &m_client;
    std::function<RoutingViewPtr()> m_view;
    std::function<Instant()> m_now;
};

} // namespace basilhall::entry
