// Runs a function on the control thread from a coroutine on another thread.
//
//     const auto function = [&] { return f(); };
//     const Result<std::string> status = co_await runOnControlThread(control, function);
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

namespace basilhall::entry
{

// Calls `function` on the executor on which the coroutine is started.
template<typename Function>
auto invokeInCoroutine(Function function)
    -> boost::asio::awaitable<std::optional<decltype(function())>>
{
    co_return function();
}

// Runs `function` on `control` and returns its result on the caller's executor.
//
// GCC 12.2 destroys the captures of a lambda twice if the lambda is created within a co_await
// expression, so create the lambda before it.
template<typename Function>
auto runOnControlThread(boost::asio::any_io_executor control, Function function)
    -> boost::asio::awaitable<decltype(function())>
{
    // co_spawn() needs a result with a default constructor.
    auto answer = boost::asio::co_spawn(control, invokeInCoroutine(std::move(function)),
                                        boost::asio::use_awaitable);
    co_return std::move(*co_await std::move(answer));
}

} // namespace basilhall::entry
