// A limit of calls a second, as the platform's object API has one.
#pragma once

#include <chrono>

namespace standin
{

// Takes up to one second's calls at once. Not thread-safe.
class RateLimit
{
public:
    using Clock = std::chrono::steady_clock;

    // A rate of 0 is no limit.
    explicit RateLimit(double perSecond);
    // Returns whether one more call is within the limit.
    bool take(Clock::time_point now);

private:
    double m_perSecond;
    double m_tokens;
    Clock::time_point m_last;
};

} // namespace standin
