// Reads and discards the rest of an answer, so that its connection can be reused.
//
//     co_await drainAnswer(stream);
#pragma once

#include "basilhall/http/client.h"

#include <boost/asio/awaitable.hpp>

namespace basilhall::gateway
{

// Gives up, which closes the connection, if the rest is long or late.
boost::asio::awaitable<void> drainAnswer(http::ResponseStream &stream);

} // namespace basilhall::gateway
