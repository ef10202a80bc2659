// Time as the decisions see it. They take an Instant as an argument and never read a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace basilhall
{

// A span of time with nanosecond resolution.
using Duration = std::chrono::nanoseconds;

// Tag of the time line of one process: monotonic, counted from an arbitrary origin, and running
// on while the host is suspended. Instants of different processes must not be compared.
struct MonotonicTimeline {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicTimeline>;
    static constexpr bool is_steady = true;
};

using Instant = MonotonicTimeline::time_point;

// Milliseconds since the Unix epoch, for people and audit records only; no decision uses it.
using WallMillis = std::int64_t;

} // namespace basilhall
