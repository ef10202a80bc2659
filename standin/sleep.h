// Suspends a coroutine for a while.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>

namespace standin
{

boost::asio::awaitable<void> sleepFor(std::chrono::nanoseconds duration);

} // namespace standin
