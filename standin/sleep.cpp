#include "standin/sleep.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace standin
{

namespace asio = boost::asio;

asio::awaitable<void> sleepFor(std::chrono::nanoseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(duration);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace standin
