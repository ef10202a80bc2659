// Coroutines that wait until their records are durable.
//
//     co_await waits.wait(ticket, deadline);
//     waits.onDurable(writer.durableTicket());
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/journal/writer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>

namespace basilhall::gateway
{

// Each wait has a timer of its own and is woken at most once, so that its cost does not depend on
// the number of other waits. Not thread-safe. Must outlive the coroutines.
class DurabilityWaits
{
public:
    explicit DurabilityWaits(boost::asio::any_io_executor executor);
    DurabilityWaits(const DurabilityWaits &) = delete;
    DurabilityWaits &operator=(const DurabilityWaits &) = delete;

    // Returns after onDurable() with at least `ticket`, after wakeAll(), or after `timeout`. The
    // caller checks which of them it was.
    boost::asio::awaitable<void> wait(journal::RecordTicket ticket, Duration timeout);
    // Wakes those that wait for records up to `durable`.
    void onDurable(journal::RecordTicket durable);
    void wakeAll();

private:
    boost::asio::any_io_executor m_executor;
    std::multimap<journal::RecordTicket, boost::asio::steady_timer> m_waiting;
};

} // namespace basilhall::gateway
