// One client connection of a stand-in's server.
#pragma once

#include "standin/exchange.h"
#include "standin/fault_rule.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace standin
{

// Reads requests one after another and hands each to the handler.
class Connection : public Exchange, public std::enable_shared_from_this<Connection>
{
public:
    using Handler = std::function<boost::asio::awaitable<void>(Connection &)>;

    Connection(boost::asio::ip::tcp::socket socket, Handler handler);
    ~Connection() override;

    // Serves the connection until either side closes it.
    boost::asio::awaitable<void> run();
    // Fault that the answer in progress shows.
    void setAnswerFault(const FaultRule &rule);

    const Request &request() const override;
    boost::asio::awaitable<void> respond(int status, std::string body) override;
    boost::asio::awaitable<void> beginStream(std::string contentType) override;
    boost::asio::awaitable<void> write(std::string bytes) override;
    boost::asio::awaitable<void> endStream() override;
    void onClientGone(std::function<void()> handler) override;
    bool clientGone() const override;
    void cut() override;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace standin
