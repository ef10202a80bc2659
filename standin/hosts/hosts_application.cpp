#include "standin/hosts/hosts_application.h"

#include <boost/json.hpp>

namespace standin
{

namespace json = boost::json;

HostsApplication::HostsApplication(int lagMs)
    : m_lag(lagMs)
    , m_versions{{Clock::time_point(), "[]"}}
{
}

boost::asio::awaitable<void> HostsApplication::serve(Exchange &exchange)
{
    if (exchange.request().path != "/hosts") {
        co_await exchange.respond(404, R"({"error":"only /hosts exists"})");
        co_return;
    }
    const Clock::time_point shown = Clock::now() - m_lag;
    while (m_versions.size() > 1 && m_versions[1].setAt <= shown) {
        m_versions.pop_front();
    }
    co_await exchange.respond(200, m_versions.front().list);
}

std::optional<std::string> HostsApplication::control(const Request &request)
{
    if (request.path != "/control/hosts") {
        return std::nullopt;
    }
    if (request.method == "POST") {
        set(request.body);
    }
    return m_versions.back().list;
}

void HostsApplication::configure(const json::object &fields)
{
    if (const json::value *lag = fields.if_contains("lagMs")) {
        m_lag = std::chrono::milliseconds(lag->to_number<int>());
    }
}

void HostsApplication::set(const std::string &list)
{
    const json::value hosts = json::parse(list);
    for (const json::value &host : hosts.as_array()) {
        for (const char *field : {"name", "address", "domain", "state"}) {
            (void)host.as_object().at(field).as_string();
        }
    }
    m_versions.push_back({Clock::now(), json::serialize(hosts)});
}

} // namespace standin
