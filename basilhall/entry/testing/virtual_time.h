// An event queue in virtual time, for tests that simulate several processes in one.
#pragma once

#include "basilhall/base/time.h"

#include <functional>
#include <map>
#include <random>
#include <utility>

namespace basilhall::testing
{

// Not thread-safe. Runs with the same seed are identical.
class VirtualTime
{
public:
    explicit VirtualTime(std::uint64_t seed)
        : m_random(seed)
    {
    }

    Instant now() const { return m_now; }
    void after(Duration delay, std::function<void()> event)
    {
        m_events.emplace(std::pair(m_now + delay, ++m_sequence), std::move(event));
    }

    // Runs the next event. Returns false if there is none.
    bool step()
    {
        if (m_events.empty()) {
            return false;
        }
        auto node = m_events.extract(m_events.begin());
        m_now = node.key().first;
        node.mapped()();
        return true;
    }

    std::uint64_t random(std::uint64_t bound) { return m_random() % bound; }
    bool chance(unsigned perMille) { return random(1000) < perMille; }
    Duration randomMillis(std::uint64_t from, std::uint64_t to)
    {
        return std::chrono::milliseconds(from + random(to - from + 1));
    }

private:
    std::mt19937_64 m_random;
    Instant m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace basilhall::testing
