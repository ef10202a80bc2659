#include "standin/engine/cache_events.h"

#include <boost/json.hpp>

namespace standin
{

namespace json = boost::json;

void CacheEvents::add(const std::string &session, std::uint64_t tokens, Clock::time_point now)
{
    ++m_lastNumber;
    if (m_lossShare > 0 && std::uniform_real_distribution<>()(m_random) < m_lossShare) {
        return;
    }
    m_events.push_back({m_lastNumber, now, session, tokens});
    if (m_events.size() > kMaxEvents) {
        m_events.pop_front();
    }
}

std::string CacheEvents::after(std::uint64_t number, Clock::time_point now) const
{
    json::array events;
    for (const Event &event : m_events) {
        if (event.number <= number || event.at > now - m_lag) {
            continue;
        }
        events.push_back(json::object{{"number", event.number},
                                      {"type", event.tokens > 0 ? "stored" : "removed"},
                                      {"session", event.session},
                                      {"tokens", event.tokens}});
    }
    return json::serialize(json::object{{"events", events}});
}

} // namespace standin
