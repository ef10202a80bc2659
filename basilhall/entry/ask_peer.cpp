#include "basilhall/entry/ask_peer.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace basilhall::entry
{

namespace asio = boost::asio;

asio::awaitable<Result<std::string>> askPeer(transport::StreamClient &client, Address peer,
                                             std::string method, std::string request,
                                             Duration timeout)
{
    auto opened = co_await client.open(peer, method, std::move(request), timeout);
    if (!opened) {
        co_return opened.error();
    }
    const std::shared_ptr<transport::ClientStream> stream = std::move(opened.value());
    asio::steady_timer timer(co_await asio::this_coro::executor, timeout);
    timer.async_wait([stream](boost::system::error_code failure) {
        if (!failure) {
            stream->cancel();
        }
    });
    auto reply = co_await stream->next();
    if (!reply) {
        const bool isLate = reply.error().kind() == ErrorKind::Cancelled;
        co_return isLate ? Error(ErrorKind::DeadlineExceeded,
                                 "peer " + toString(peer) + " did not answer " + method)
                         : reply.error();
    }
    if (!reply.value()) {
        co_return Error(ErrorKind::ConnectionLost,
                        "peer " + toString(peer) + " sent no reply to " + method);
    }
    co_return std::move(*reply.value());
}

} // namespace basilhall::entry
