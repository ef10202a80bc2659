#include "basilhall/gateway/internal/durability_waits.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace basilhall::gateway
{

namespace asio = boost::asio;

DurabilityWaits::DurabilityWaits(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

asio::awaitable<void> DurabilityWaits::wait(journal::RecordTicket ticket, Duration timeout)
{
    // A timer that has just expired cannot be cancelled, so each wait removes its own entry.
    const auto entry = m_waiting.emplace(ticket, asio::steady_timer(m_executor, timeout));
    (void)co_await entry->second.async_wait(asio::as_tuple(asio::use_awaitable));
    m_waiting.erase(entry);
}

void DurabilityWaits::onDurable(journal::RecordTicket durable)
{
    const auto end = m_waiting.upper_bound(durable);
    for (auto entry = m_waiting.begin(); entry != end; ++entry) {
        entry->second.cancel();
    }
}

void DurabilityWaits::wakeAll()
{
    for (auto &[ticket, timer] : m_waiting) {
        timer.cancel();
    }
}

} // namespace basilhall::gateway
