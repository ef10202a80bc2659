#include "standin/traffic_log.h"

#include <boost/json.hpp>

namespace standin
{

namespace json = boost::json;

namespace
{

std::size_t sizeOf(const Request &request)
{
    std::size_t bytes = request.path.size() + request.query.size() + request.body.size();
    for (const HeaderField &field : request.headers) {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

json::object toJson(const Request &request)
{
    json::object headers;
    for (const HeaderField &field : request.headers) {
        headers[field.name] = field.value;
    }
    return json::object{{"method", request.method},
                        {"path", request.path},
                        {"query", request.query},
                        {"headers", headers},
                        {"body", request.body}};
}

} // namespace

void TrafficLog::record(const Request &request)
{
    ++m_seen;
    m_bytes += sizeOf(request);
    m_requests.push_back(request);
    while (m_bytes > kMaxBytes) {
        m_bytes -= sizeOf(m_requests.front());
        m_requests.pop_front();
    }
}

std::string TrafficLog::describe() const
{
    json::array requests;
    for (const Request &request : m_requests) {
        requests.push_back(toJson(request));
    }
    return json::serialize(json::object{
        {"seen", m_seen}, {"dropped", m_seen - m_requests.size()}, {"requests", requests}});
}

} // namespace standin
