// Limits how long a gateway admits turns of the programs whose home it is without asking others.
//
// Peers that hear nothing of a home for some time choose another one. A process that stood still
// for so long cannot go by its connections: it may read the request of a caller before it notices
// that a connection has ended. So the lease is renewed while the event loop runs, and one that has
// lapsed begins again only after the other holders were asked.
//
//     HomeLease lease(1400ms, now);
//     lease.renew(now);
//     if (!lease.holds(now)) {
//         const std::uint64_t lapses = lease.lapses();
//         ...                             // ask the other holders
//         lease.confirm(lapses, now);
//     }
#pragma once

#include "basilhall/base/time.h"

#include <cstdint>

namespace basilhall::gateway
{

// Not thread-safe.
class HomeLease
{
public:
    // `length` has to be shorter than the silence after which peers choose another home.
    HomeLease(Duration length, Instant now);

    // Call it several times within the length of the lease. Returns how long the process stood
    // still if the lease has just lapsed, or zero.
    Duration renew(Instant now);
    // Ends the lapse. Ignored if the lease has lapsed again since lapses() was `lapsesBefore`.
    void confirm(std::uint64_t lapsesBefore, Instant now);

    bool holds(Instant now) const { return now <= end(); }
    // The lease holds until then, inclusive; Instant::min() if it has lapsed.
    Instant end() const;
    // How often the lease has lapsed, up to the last call of renew().
    std::uint64_t lapses() const { return m_lapses; }

private:
    Duration m_length;
    Instant m_renewedAt;
    bool m_isConfirmed = true;
    std::uint64_t m_lapses = 0;
};

} // namespace basilhall::gateway
