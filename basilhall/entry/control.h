// The control state of one entry host and the loop that drives it, all on one thread.
//
//     Control control(io, settings, incarnation, seed, logs);
//     control.start();
//     RoutingViewPtr view = control.view(); // from any thread
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/entry/limit_gate.h"
#include "basilhall/entry/owner_driver.h"
#include "basilhall/entry/peer_service.h"
#include "basilhall/entry/routing_view.h"
#include "basilhall/logging/log_system.h"
#include "basilhall/settings/entry_settings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace basilhall::audit
{
struct Record;
}

namespace basilhall::metrics
{
class Registry;
}

namespace basilhall::entry
{

class Control
{
public:
    // Called on the control thread after each change of the view.
    using ViewHandler =
        std::function<void(const RoutingViewPtr &before, const RoutingViewPtr &now)>;
    Control(boost::asio::io_context &io, const settings::EntrySettings &settings, Incarnation self,
            std::uint64_t seed, logging::LogSystem &logs, metrics::Registry &registry);
    ~Control();
    Control(const Control &) = delete;
    Control &operator=(const Control &) = delete;

    // Before start().
    void onViewChanged(ViewHandler handler);
    void start();
    // Control thread. Accepts no new work as an owner and hands the shards over. The host keeps
    // forwarding calls to other owners.
    void beginDrain();
    // Control thread. True once this host owns no shard and runs no call.
    bool isDrained() const;
    // Control thread. True once another host has sealed this incarnation's journal. It can no
    // longer own a shard, so the process has to restart.
    bool isSuperseded() const;
    // Control thread. Closes all connections.
    void stop();

    // Any thread.
    RoutingViewPtr view() const;
    boost::asio::any_io_executor executor() const;
    OwnerDriver &ownerDriver();
    LimitGate &limits();
    // Returns the handlers that the peer service runs on the control thread.
    PeerService::ControlHandlers peerHandlers();
    // Control thread. Returns the status of the host as a JSON document for operators.
    std::string statusDocument() const;
    // Control thread. Returns a JSON document about one program: its state if this host owns it,
    // otherwise the address of its owner. Returns NotFound if this host owns the shard and the
    // program does not exist.
    Result<std::string> explain(const ProgramId &program) const;
    // Control thread. Returns the most recent audit records, oldest first.
    const std::deque<audit::Record> &auditRecords() const;
    // Control thread. Sets the gauges that are computed from the current state.
    void updateMetrics(metrics::Registry &registry) const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace basilhall::entry
