// How parts of the mesh send requests to peers.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/time.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

namespace basilhall::gateway
{

// Sends one request with a method and a message, and returns the reply if it arrives in time.
using PeerCall = std::function<boost::asio::awaitable<std::optional<std::string>>(
    Address, std::string, std::string, Duration)>;

} // namespace basilhall::gateway
