// The engine's cache events: numbered, published late and with gaps.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>

namespace standin
{

// Not thread-safe.
class CacheEvents
{
public:
    using Clock = std::chrono::steady_clock;

    void setLag(std::chrono::milliseconds lag) { m_lag = lag; }
    // Share of the events that are never published, from 0 to 1.
    void setLossShare(double share) { m_lossShare = share; }
    // `tokens` is 0 if the session was removed.
    void add(const std::string &session, std::uint64_t tokens, Clock::time_point now);
    // JSON with the published events numbered above `number`.
    std::string after(std::uint64_t number, Clock::time_point now) const;

private:
    struct Event {
        std::uint64_t number;
        Clock::time_point at;
        std::string session;
        std::uint64_t tokens;
    };
    static constexpr std::size_t kMaxEvents = 10'000;

    std::chrono::milliseconds m_lag{0};
    double m_lossShare = 0;
    std::mt19937_64 m_random{1};
    std::uint64_t m_lastNumber = 0;
    std::deque<Event> m_events;
};

} // namespace standin
