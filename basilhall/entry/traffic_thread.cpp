#include "basilhall/entry/traffic_thread.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/entry/call_router.h"
#include "basilhall/entry/caller_api.h"
#include "basilhall/entry/control.h"
#include "basilhall/entry/peer_service.h"
#include "basilhall/http/server.h"
#include "basilhall/transport/stream_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <thread>

namespace basilhall::entry
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);

Instant currentTime()
{
    return MonotonicClock().now();
}

} // namespace

class TrafficThread::Private
{
public:
    Private(Control &controlOfHost, const Address &listen, std::uint64_t seed,
            metrics::Registry &registry)
        : control(controlOfHost)
        , work(asio::make_work_guard(io))
        , client(io.get_executor())
        , router(
              control.ownerDriver(), client, [this] { return control.view(); }, currentTime)
        , callerApi(
              router, control.limits(), [this] { return control.view(); }, seed, registry)
        , server(
              io.get_executor(), listen, http::ServerLimits(),
              [this](std::shared_ptr<http::Exchange> exchange) {
                  return callerApi.handle(std::move(exchange));
              },
              true)
        , drainTimer(io)
    {
    }

    void checkIdle()
    {
        const std::size_t peerStreams = peerServer ? peerServer->activeStreams() : 0;
        // Wait for idle connections too, as a request may still be in transit on them.
        if (server.connections() == 0 && peerStreams == 0) {
            onIdle();
            return;
        }
        drainTimer.expires_after(kDrainCheckInterval);
        drainTimer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                checkIdle();
            }
        });
    }

    Control &control;
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work;
    transport::StreamClient client;
    CallRouter router;
    CallerApi callerApi;
    http::Server server;
    std::optional<PeerService> peers;
    std::unique_ptr<transport::StreamServer> peerServer;
    asio::steady_timer drainTimer;
    std::function<void()> onIdle;
    std::thread thread;
};

TrafficThread::TrafficThread(Control &control, const Address &listen, std::uint64_t seed,
                             metrics::Registry &registry)
    : d(std::make_unique<Private>(control, listen, seed, registry))
{
}

TrafficThread::~TrafficThread()
{
    stop();
}

Address TrafficThread::servePeers(const Address &listen)
{
    d->peers.emplace(d->control.executor(), d->control.ownerDriver(), d->control.limits(),
                     d->client, d->control.peerHandlers());
    d->peerServer = std::make_unique<transport::StreamServer>(
        d->io.get_executor(), listen, [this](std::shared_ptr<transport::ServerStream> stream) {
            return d->peers->handle(std::move(stream));
        });
    return d->peerServer->address();
}

void TrafficThread::start()
{
    d->thread = std::thread([this] { d->io.run(); });
}

Address TrafficThread::address() const
{
    return d->server.address();
}

void TrafficThread::viewChanged(RoutingViewPtr before, RoutingViewPtr now)
{
    if (before->manifest == nullptr || now->manifest == nullptr
        || before->manifest == now->manifest) {
        return;
    }
    asio::post(d->io, [this, before = std::move(before), now = std::move(now)] {
        d->callerApi.manifestChanged(*before->manifest, *now->manifest);
    });
}

void TrafficThread::drain(std::function<void()> onIdle)
{
    asio::post(d->io, [this, onIdle = std::move(onIdle)]() mutable {
        d->onIdle = std::move(onIdle);
        d->server.stopAccepting();
        if (d->peerServer) {
            d->peerServer->stopAccepting();
        }
        d->checkIdle();
    });
}

void TrafficThread::stop()
{
    if (!d->thread.joinable()) {
        return;
    }
    asio::post(d->io, [this] {
        d->server.close();
        if (d->peerServer) {
            d->peerServer->close();
        }
        d->client.close();
        d->io.stop();
    });
    d->thread.join();
}

} // namespace basilhall::entry
