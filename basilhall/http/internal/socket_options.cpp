#include "basilhall/http/internal/socket_options.h"

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace basilhall::http
{

namespace
{

// A peer whose host is down or unreachable is detected within 3 s.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
constexpr int kUserTimeoutMillis = 3000;

void setTcpOption(int descriptor, int option, int value)
{
    ::setsockopt(descriptor, IPPROTO_TCP, option, &value, sizeof(value));
}

} // namespace

void setSocketOptions(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int descriptor = socket.native_handle();
    setTcpOption(descriptor, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    setTcpOption(descriptor, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    setTcpOption(descriptor, TCP_KEEPCNT, kKeepAliveProbes);
    setTcpOption(descriptor, TCP_USER_TIMEOUT, kUserTimeoutMillis);
}

bool isIdle(boost::asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace basilhall::http
