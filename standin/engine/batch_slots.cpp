#include "standin/engine/batch_slots.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <list>

namespace standin
{

namespace asio = boost::asio;

class BatchSlots::Waiter
{
public:
    Waiter(const asio::any_io_executor &executor, int p)
        : timer(executor)
        , priority(p)
    {
    }

    asio::steady_timer timer;
    int priority;
    bool granted = false;
    bool cancelled = false;
};

// Ordered by priority, then by arrival.
class BatchSlots::Queue
{
public:
    std::list<std::shared_ptr<Waiter>> waiters;
};

BatchSlots::BatchSlots(std::size_t slots)
    : m_slots(slots)
    , m_queue(std::make_unique<Queue>())
{
}

BatchSlots::~BatchSlots() = default;

std::shared_ptr<BatchSlots::Waiter> BatchSlots::makeWaiter(const asio::any_io_executor &executor,
                                                           int priority)
{
    return std::make_shared<Waiter>(executor, priority);
}

void BatchSlots::cancel(Waiter &waiter)
{
    waiter.cancelled = true;
    waiter.timer.cancel();
}

asio::awaitable<bool> BatchSlots::acquire(std::shared_ptr<Waiter> waiter)
{
    if (m_running < m_slots) {
        ++m_running;
        co_return true;
    }
    auto &waiters = m_queue->waiters;
    const auto behind = [&](const std::shared_ptr<Waiter> &other) {
        return other->priority < waiter->priority;
    };
    waiters.insert(std::find_if(waiters.begin(), waiters.end(), behind), waiter);
    while (!waiter->granted && !waiter->cancelled) {
        waiter->timer.expires_at(asio::steady_timer::time_point::max());
        co_await waiter->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (!waiter->granted) {
        waiters.remove(waiter);
    }
    co_return waiter->granted;
}

void BatchSlots::release()
{
    auto &waiters = m_queue->waiters;
    if (waiters.empty()) {
        --m_running;
        return;
    }
    const std::shared_ptr<Waiter> next = waiters.front();
    waiters.pop_front();
    next->granted = true;
    next->timer.cancel();
}

std::size_t BatchSlots::queued() const
{
    return m_queue->waiters.size();
}

} // namespace standin
