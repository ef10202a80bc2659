// Runs one traffic thread of an entry host with its HTTP server and its connections.
//
//     TrafficThread thread(control, listen, seed, registry);
//     thread.start();
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/entry/routing_view.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace basilhall::metrics
{
class Registry;
}

namespace basilhall::entry
{

class Control;

class TrafficThread
{
public:
    // Serves callers on `listen`. Several threads may share one port.
    TrafficThread(Control &control, const Address &listen, std::uint64_t seed,
                  metrics::Registry &registry);
    ~TrafficThread();
    TrafficThread(const TrafficThread &) = delete;
    TrafficThread &operator=(const TrafficThread &) = delete;

    // Before start(). Also serves peers on `listen`. Returns the address in use.
    Address servePeers(const Address &listen);
    void start();
    Address address() const;

    // Any thread.
    void viewChanged(RoutingViewPtr before, RoutingViewPtr now);
    // Any thread. Stops accepting connections, then calls `onIdle` on this thread once all
    // connections and peer streams have ended.
    void drain(std::function<void()> onIdle);
    // Any thread except this one. Closes everything and joins the thread.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace basilhall::entry
