#include "basilhall/agent/endpoint_monitor.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace basilhall::agent
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr Duration kInterval = std::chrono::seconds(1);
constexpr Duration kTimeout = std::chrono::seconds(2);
// Consecutive failures after which the endpoint is reported as unhealthy.
constexpr unsigned kMaxFailures = 2;
constexpr int kStatusOk = 200;

std::uint64_t numberIn(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains({name.data(), name.size()});
    boost::system::error_code error;
    const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

} // namespace

EndpointMonitor::EndpointMonitor(http::Client &client, const Endpoint &endpoint,
                                 std::function<void(bool)> onHealth, CacheHandler onCache)
    : m_client(client)
    , m_endpoint(endpoint)
    , m_onHealth(std::move(onHealth))
    , m_onCache(std::move(onCache))
{
}

asio::awaitable<void> EndpointMonitor::run()
{
    const auto self = shared_from_this();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    m_cancelTimer = [&timer] { timer.cancel(); };
    while (!m_stopped) {
        const bool isEngine = m_endpoint.kind == manifest::EndpointKind::Engine;
        bool answers = false;
        if (isEngine) {
            answers = co_await pollEngine();
        } else {
            answers = co_await probeService();
        }
        m_failures = answers ? 0 : m_failures + 1;
        if (!m_stopped && (answers || m_failures >= kMaxFailures)) {
            m_onHealth(answers);
        }
        if (m_stopped) {
            break;
        }
        timer.expires_after(kInterval);
        (void)co_await timer.async_wait(kTuple);
    }
    m_cancelTimer = nullptr;
}

void EndpointMonitor::stop()
{
    m_stopped = true;
    if (m_cancelTimer) {
        m_cancelTimer();
    }
}

asio::awaitable<bool> EndpointMonitor::pollEngine()
{
    http::Request request;
    request.method = "GET";
    request.target = "/v1/cache/events?after=" + std::to_string(m_lastEvent);
    const auto response = co_await m_client.send(m_endpoint.address, request, kTimeout);
    if (!response) {
        co_return false;
    }
    if (response.value().status == kStatusOk && !m_stopped) {
        processEvents(response.value().body);
    }
    // Any response proves that the engine is alive, even if it does not provide cache events.
    co_return true;
}

asio::awaitable<bool> EndpointMonitor::probeService()
{
    boost::system::error_code parsed;
    const auto ip = asio::ip::make_address(m_endpoint.address.ip, parsed);
    if (parsed) {
        co_return false;
    }
    const auto executor = co_await asio::this_coro::executor;
    const auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    asio::steady_timer timer(executor, kTimeout);
    timer.async_wait([socket](boost::system::error_code error) {
        if (!error) {
            boost::system::error_code ignored;
            socket->close(ignored);
        }
    });
    const asio::ip::tcp::endpoint endpoint(ip, m_endpoint.address.port);
    const auto [error] = co_await socket->async_connect(endpoint, kTuple);
    const bool isCancelled = timer.cancel() > 0;
    co_return !error && isCancelled;
}

void EndpointMonitor::processEvents(const std::string &body)
{
    boost::system::error_code error;
    const json::value document = json::parse(body, error);
    if (error || !document.is_object()) {
        return;
    }
    const json::value *events = document.as_object().if_contains("events");
    if (events == nullptr || !events->is_array()) {
        return;
    }
    for (const json::value &event : events->as_array()) {
        if (!event.is_object()) {
            continue;
        }
        const json::object &fields = event.as_object();
        const json::value *session = fields.if_contains("session");
        m_lastEvent = std::max(m_lastEvent, numberIn(fields, "number"));
        if (session != nullptr && session->is_string()) {
            m_onCache(ProgramId(json::value_to<std::string>(*session)), numberIn(fields, "tokens"));
        }
    }
}

} // namespace basilhall::agent
