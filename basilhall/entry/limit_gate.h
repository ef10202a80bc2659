// Admits calls within the rate limits of their teams, which apply across all hosts.
//
//     const Result<void> admitted = co_await gate.admit(team);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/result.h"
#include "basilhall/base/time.h"
#include "basilhall/entry/routing_view.h"
#include "basilhall/limit/limiter.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/wire/wire.pb.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace basilhall::entry
{

// Lives on the control thread; admit() may be called on any thread.
class LimitGate
{
public:
    // `limiter` is the local limiter for the team slices whose shards this host owns.
    LimitGate(boost::asio::any_io_executor control, limit::Limiter &limiter,
              transport::StreamClient &controlClient, std::function<RoutingViewPtr()> view,
              std::function<Instant()> now, Incarnation self);
    ~LimitGate();
    LimitGate(const LimitGate &) = delete;
    LimitGate &operator=(const LimitGate &) = delete;

    // Returns success once a call of the team may proceed. Otherwise returns RateLimited or
    // Unavailable, both marked as not run and with a retry delay.
    boost::asio::awaitable<Result<void>> admit(TeamName team);

    // Control thread. Handles another host's request to the local limiter.
    wire::AcquireReply handleAcquire(const wire::AcquireRequest &request);
    // Control thread. Removes the cached state of idle teams; call it about once a second.
    void forgetIdle();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::entry
