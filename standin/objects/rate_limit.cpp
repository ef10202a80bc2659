#include "standin/objects/rate_limit.h"

#include <algorithm>

namespace standin
{

RateLimit::RateLimit(double perSecond)
    : m_perSecond(perSecond)
    , m_tokens(perSecond)
{
}

bool RateLimit::take(Clock::time_point now)
{
    if (m_perSecond <= 0) {
        return true;
    }
    const double elapsed = std::chrono::duration<double>(now - m_last).count();
    m_last = now;
    m_tokens = std::min(m_perSecond, m_tokens + elapsed * m_perSecond);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace standin
