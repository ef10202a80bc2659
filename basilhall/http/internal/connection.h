// An accepted HTTP connection: reads requests sequentially and runs the handler for each.
//
//     const auto connection = std::make_shared<Connection>(std::move(socket), limits, handler,
//                                                          activeExchanges);
//     co_await connection->run();
#pragma once

#include "basilhall/http/internal/codec.h"
#include "basilhall/http/internal/deadline.h"
#include "basilhall/http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>

namespace basilhall::http
{

// Not thread-safe.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    // `activeExchanges` counts the requests in progress on the whole server.
    Connection(boost::asio::ip::tcp::socket socket, const ServerLimits &limits,
               Server::Handler handler, std::shared_ptr<std::size_t> activeExchanges);

    // Serves requests until the connection closes.
    boost::asio::awaitable<void> run();
    // Closes the connection after the response in progress, or after a grace period if it is idle.
    void drain();
    // Closes the connection immediately.
    void close();

    // Operations that the exchange in progress uses.
    boost::asio::awaitable<Result<void>> write(std::string bytes);
    const std::string &clientAddress() const { return m_clientAddress; }
    void onClientGone(std::function<void()> handler);
    bool isDraining() const { return m_draining; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> serveOne();
    boost::asio::awaitable<bool> awaitFirstByte();
    boost::asio::awaitable<bool> readRequest(Parser &parser);
    boost::asio::awaitable<bool> readBody(Parser &parser);
    boost::asio::awaitable<bool> handle(Parser &parser);
    boost::asio::awaitable<void> runHandler(std::shared_ptr<Exchange> exchange);
    boost::asio::awaitable<void> reject(boost::system::error_code error);
    boost::asio::awaitable<void> reject(Error error, int status);
    boost::asio::awaitable<void> linger();
    // Detects a disconnect of the client during an exchange.
    boost::asio::awaitable<void> watchClient();
    boost::asio::awaitable<void> stopWatching();
    void handleClientDisconnect();

    boost::asio::ip::tcp::socket m_socket;
    ServerLimits m_limits;
    Server::Handler m_handler;
    std::shared_ptr<std::size_t> m_activeExchanges;
    Deadline m_deadline;
    boost::beast::flat_buffer m_buffer;
    std::string m_clientAddress;
    std::function<void()> m_disconnectHandler;
    boost::asio::steady_timer m_watchEnded;
    bool m_watching = false;
    bool m_disconnected = false;
    bool m_idle = false;
    bool m_draining = false;
};

} // namespace basilhall::http
