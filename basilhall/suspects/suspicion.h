// What is held against one request: the endpoint processes that ended while they ran it.
//
//     const Suspicion suspicion = evidence.suspicion(key);
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>

namespace basilhall::suspects
{

// Immutable value.
struct Suspicion {
    // Ends that no other request explains better, one that ran at more ends.
    std::uint32_t ends = 0;
    // Those of them where it ran at more ends than each other request.
    std::uint32_t strictEnds = 0;
    // The last end, and the last start of a run that was sent nowhere else meanwhile; min() if
    // there is none.
    Instant lastEnd = Instant::min();
    Instant lastRun = Instant::min();

    auto operator<=>(const Suspicion &) const = default;
};

} // namespace basilhall::suspects
