#include "standin/application.h"

#include <boost/json.hpp>

namespace standin
{

std::optional<std::string> Application::control(const Request &)
{
    return std::nullopt;
}

void Application::configure(const boost::json::object &) { }

} // namespace standin
