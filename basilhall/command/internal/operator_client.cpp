#include "basilhall/command/internal/operator_client.h"

#include "basilhall/http/client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <optional>

namespace basilhall::command::internal
{

namespace
{

namespace asio = boost::asio;

constexpr Duration kTimeout = std::chrono::seconds(5);
constexpr int kOk = 200;
constexpr int kNotFound = 404;

asio::awaitable<void> send(http::Client &client, const Address &process, http::Request request,
                           std::optional<Result<http::Response>> &answer)
{
    answer = co_await client.send(process, std::move(request), kTimeout);
}

std::string errorMessage(const std::string &body)
{
    boost::json::error_code failure;
    const boost::json::value parsed = boost::json::parse(body, failure);
    if (failure || !parsed.is_object()) {
        return body;
    }
    const boost::json::value *const error = parsed.get_object().if_contains("error");
    if (error == nullptr || !error->is_object()) {
        return body;
    }
    const boost::json::value *const message = error->get_object().if_contains("message");
    return message != nullptr && message->is_string() ? std::string(message->get_string()) : body;
}

} // namespace

Result<OperatorAnswer> askOperator(const Address &process, const std::string &method,
                                   const std::string &target, const std::string &body)
{
    asio::io_context io(1);
    http::Client client(io.get_executor());
    std::optional<Result<http::Response>> answer;
    http::Request request{method, target, {}, body};
    asio::co_spawn(io, send(client, process, std::move(request), answer), asio::detached);
    while (!answer && io.run_one() != 0) { }
    if (!answer || !*answer) {
        const std::string reason = answer ? ": " + answer->error().message() : "";
        return Error(ErrorKind::Unavailable,
                     "process at " + toString(process) + " does not answer" + reason);
    }
    http::Response &response = answer->value();
    return OperatorAnswer{response.status, std::move(response.body)};
}

Result<boost::json::value> askForJson(const Address &process, const std::string &target)
{
    BOOST_OUTCOME_TRY(const OperatorAnswer answer, askOperator(process, "GET", target));
    if (answer.status == kNotFound) {
        return Error(ErrorKind::NotFound, errorMessage(answer.body));
    }
    if (answer.status != kOk) {
        return Error(ErrorKind::EndpointFailed,
                     "process at " + toString(process) + " answers " + std::to_string(answer.status)
                         + ": " + errorMessage(answer.body));
    }
    boost::json::error_code failure;
    boost::json::value parsed = boost::json::parse(answer.body, failure);
    if (failure) {
        return Error(ErrorKind::EndpointFailed,
                     "process at " + toString(process) + " does not answer with JSON");
    }
    return parsed;
}

} // namespace basilhall::command::internal
