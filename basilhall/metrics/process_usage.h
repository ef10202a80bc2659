// Processor time and memory of this process.
#pragma once

#include <cstdint>

namespace basilhall::metrics
{

// Immutable value.
struct ProcessUsage {
    double cpuSeconds = 0;
    // 0 if the system does not tell.
    std::uint64_t residentBytes = 0;
};

// Thread-safe.
ProcessUsage processUsage();

} // namespace basilhall::metrics
