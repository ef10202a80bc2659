// A value that its readers see late, as an engine's load report.
#pragma once

#include <chrono>
#include <deque>
#include <utility>

namespace standin
{

// Not thread-safe. Keeps what was set within the lag, and one older value.
template<typename T>
class Lagged
{
public:
    using Clock = std::chrono::steady_clock;

    void setLag(std::chrono::milliseconds lag) { m_lag = lag; }

    void set(T value, Clock::time_point now)
    {
        m_values.push_back({now, std::move(value)});
        forget(now);
    }

    T read(Clock::time_point now)
    {
        forget(now);
        return m_values.empty() || m_values.front().setAt > now - m_lag ? T()
                                                                        : m_values.front().value;
    }

private:
    struct Entry {
        Clock::time_point setAt;
        T value;
    };

    void forget(Clock::time_point now)
    {
        while (m_values.size() > 1 && m_values[1].setAt <= now - m_lag) {
            m_values.pop_front();
        }
    }

    std::chrono::milliseconds m_lag{0};
    std::deque<Entry> m_values;
};

} // namespace standin
