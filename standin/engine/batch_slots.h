// The places of a continuous batch: a bounded number of running calls and a queue by priority.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>

namespace standin
{

// Use from its executor, which one thread runs.
class BatchSlots
{
public:
    explicit BatchSlots(std::size_t slots);
    ~BatchSlots();

    // A caller in the queue. cancel() makes its acquire() return false.
    class Waiter;
    static std::shared_ptr<Waiter> makeWaiter(const boost::asio::any_io_executor &executor,
                                              int priority);
    static void cancel(Waiter &waiter);

    // Returns true once the caller has a slot, which it gives back with release().
    boost::asio::awaitable<bool> acquire(std::shared_ptr<Waiter> waiter);
    void release();

    std::size_t running() const { return m_running; }
    std::size_t queued() const;

private:
    class Queue;

    std::size_t m_slots;
    std::size_t m_running = 0;
    std::unique_ptr<Queue> m_queue;
};

} // namespace standin
