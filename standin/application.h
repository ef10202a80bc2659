// What a stand-in serves behind the common server.
#pragma once

#include "standin/exchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/fwd.hpp>
#include <optional>
#include <string>

namespace standin
{

// Used from the server's executor alone.
class Application
{
public:
    virtual ~Application() = default;

    virtual boost::asio::awaitable<void> serve(Exchange &exchange) = 0;
    // Answers a request below /control that the server itself does not know; nothing if the
    // stand-in does not know it either.
    virtual std::optional<std::string> control(const Request &request);
    // Takes the stand-in's own fields of `POST /control/faults`.
    virtual void configure(const boost::json::object &fields);
};

} // namespace standin
