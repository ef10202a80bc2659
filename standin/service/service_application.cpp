#include "standin/service/service_application.h"

#include "standin/sleep.h"

#include <boost/json.hpp>

namespace standin
{

namespace json = boost::json;

namespace
{

json::object toJson(const std::map<std::string, std::uint64_t> &counts)
{
    json::object object;
    for (const auto &[name, count] : counts) {
        object[name] = count;
    }
    return object;
}

} // namespace

ServiceApplication::ServiceApplication(bool honoursKeys, int workMs)
    : m_honoursKeys(honoursKeys)
    , m_workMs(workMs)
{
}

boost::asio::awaitable<void> ServiceApplication::serve(Exchange &exchange)
{
    std::string answer = execute(exchange.request());
    if (m_workMs > 0) {
        co_await sleepFor(std::chrono::milliseconds(m_workMs));
    }
    co_await exchange.respond(200, std::move(answer));
}

std::string ServiceApplication::execute(const Request &request)
{
    const std::string key = request.header("idempotency-key");
    const std::string call = request.header("x-call-id");
    const bool honoured = m_honoursKeys && !key.empty();
    if (honoured && m_answers.contains(key)) {
        return m_answers[key];
    }
    ++m_total;
    const std::uint64_t keyCount = key.empty() ? 0 : ++m_byKey[key];
    const std::uint64_t callCount = call.empty() ? 0 : ++m_byCall[call];
    std::string answer =
        json::serialize(json::object{{"path", request.path},
                                     {"method", request.method},
                                     {"body", request.body},
                                     {"executions", key.empty() ? callCount : keyCount}});
    if (honoured) {
        m_answers[key] = answer;
    }
    return answer;
}

std::optional<std::string> ServiceApplication::control(const Request &request)
{
    if (request.path != "/control/executions") {
        return std::nullopt;
    }
    return json::serialize(
        json::object{{"total", m_total}, {"byKey", toJson(m_byKey)}, {"byCall", toJson(m_byCall)}});
}

} // namespace standin
