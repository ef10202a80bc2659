#include "basilhall/resumption/caller_deadlines.h"

#include <algorithm>

namespace basilhall::resumption
{

void CallerDeadlines::onFirstAttempt(const std::string &route, std::optional<Duration> timeLeft)
{
    Duration &longest = m_longest[route];
    longest = std::max(longest, std::min(timeLeft.value_or(kMaxAge), kMaxAge));
}

Duration CallerDeadlines::maxStreamAge(const std::string &route, Duration timeout,
                                       std::optional<Duration> timeLeft) const
{
    const auto longest = m_longest.find(route);
    if (!timeLeft || longest == m_longest.end()) {
        return std::max(kMaxAge, timeout);
    }
    return std::max({longest->second, timeout, std::min(*timeLeft, kMaxAge)});
}

} // namespace basilhall::resumption
