// One request to a stand-in and its answer.
#pragma once

#include "standin/request.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

namespace standin
{

// Answer with respond(), or with beginStream(), any number of write() and endStream(). All throw
// boost::system::system_error once the client is gone or a fault has cut the connection.
class Exchange
{
public:
    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;
    virtual boost::asio::awaitable<void> respond(int status, std::string body) = 0;
    virtual boost::asio::awaitable<void> beginStream(std::string contentType) = 0;
    virtual boost::asio::awaitable<void> write(std::string bytes) = 0;
    virtual boost::asio::awaitable<void> endStream() = 0;
    // Calls `handler` once if the client closes its connection before the answer is complete.
    virtual void onClientGone(std::function<void()> handler) = 0;
    virtual bool clientGone() const = 0;
    // Closes the connection without an orderly end.
    virtual void cut() = 0;
};

} // namespace standin
