// The destination of the replies to a call: a caller's HTTP connection or another entry host.
//
//     const Result<void> sent = co_await sink(std::move(reply));
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/wire/wire.pb.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace basilhall::entry
{

// Suspends while the receiver cannot accept more data. Returns ConnectionLost if the receiver has
// disconnected.
using ReplySink = std::function<boost::asio::awaitable<Result<void>>(wire::CallReply)>;

} // namespace basilhall::entry
