// Awaits one call of the object API.
//
//     const store::Outcome outcome = co_await executeCall(executor, access, store::List{kind, ""});
#pragma once

#include "basilhall/gateway/store_access.h"
#include "basilhall/transport/signal.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <utility>

namespace basilhall::gateway
{

// `access` is called once, before the first suspension.
inline boost::asio::awaitable<store::Outcome>
executeCall(boost::asio::any_io_executor executor, StoreAccess access, store::Request request)
{
    auto result = std::make_shared<std::optional<store::Outcome>>();
    auto done = std::make_shared<transport::Signal>(executor);
    access(std::move(request), [result, done](const store::Outcome &outcome) {
        *result = outcome;
        done->notify();
    });
    while (!*result) {
        co_await done->wait();
    }
    co_return std::move(**result);
}

} // namespace basilhall::gateway
