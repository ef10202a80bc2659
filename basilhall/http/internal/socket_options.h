// Options set on every HTTP socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace basilhall::http
{

// Disables Nagle's algorithm and enables TCP keep-alive, so that a peer that disappears without
// closing the connection is detected even while nothing is sent.
void setSocketOptions(boost::asio::ip::tcp::socket &socket);

// Returns true if the peer of an idle connection has neither closed it nor sent anything.
bool isIdle(boost::asio::ip::tcp::socket &socket);

} // namespace basilhall::http
