#include "basilhall/gateway/internal/home_lease.h"

namespace basilhall::gateway
{

HomeLease::HomeLease(Duration length, Instant now)
    : m_length(length)
    , m_renewedAt(now)
{
}

Duration HomeLease::renew(Instant now)
{
    const Duration gap = now - m_renewedAt;
    m_renewedAt = now;
    if (gap <= m_length) {
        return Duration::zero();
    }
    m_isConfirmed = false;
    ++m_lapses;
    return gap;
}

void HomeLease::confirm(std::uint64_t lapsesBefore, Instant now)
{
    renew(now);
    m_isConfirmed = m_isConfirmed || m_lapses == lapsesBefore;
}

Instant HomeLease::end() const
{
    return m_isConfirmed ? m_renewedAt + m_length : Instant::min();
}

} // namespace basilhall::gateway
