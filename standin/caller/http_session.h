// One keep-alive connection of the caller.
#pragma once

#include "standin/caller/reply.h"
#include "standin/request.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace standin
{

// Connects when first used and after a failure. One call at a time.
class HttpSession
{
public:
    HttpSession(const boost::asio::any_io_executor &executor, std::string ip, std::uint16_t port,
                std::chrono::milliseconds timeout);
    ~HttpSession();

    // Never throws for a failed connection: the reply has status 0 then.
    boost::asio::awaitable<Reply> send(const Request &request);

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace standin
