// Wakes the coroutines that wait for a state to change.
//
//     while (!ready) { co_await signal.wait(); }
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace basilhall::transport
{

// Not thread-safe. A notification without a waiter is lost: check the state before waiting.
class Signal
{
public:
    explicit Signal(const boost::asio::any_io_executor &executor)
        : m_timer(executor, std::chrono::steady_clock::time_point::max())
    {
    }

    boost::asio::awaitable<void> wait()
    {
        (void)co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    void notify() { m_timer.cancel(); }

private:
    boost::asio::steady_timer m_timer;
};

} // namespace basilhall::transport
