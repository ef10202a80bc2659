// Runs a test written as a coroutine on an io_context until it ends.
//
//     asio::io_context context;
//     runCoroutine(context, [&]() -> asio::awaitable<void> { ... });
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <stdexcept>

namespace basilhall::testing
{

// Rethrows what the coroutine throws.
inline void runCoroutine(boost::asio::io_context &context,
                         const std::function<boost::asio::awaitable<void>()> &body)
{
    bool done = false;
    std::exception_ptr failure;
    boost::asio::co_spawn(context, body, [&](std::exception_ptr thrown) {
        failure = thrown;
        done = true;
    });
    while (!done) {
        if (context.run_one() == 0) {
            throw std::logic_error("test coroutine waits for nothing");
        }
    }
    if (failure) {
        std::rethrow_exception(failure);
    }
}

} // namespace basilhall::testing
