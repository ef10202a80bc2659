#include "basilhall/metrics/process_usage.h"

#include <ctime>
#include <fstream>
#include <unistd.h>

namespace basilhall::metrics
{

namespace
{

constexpr double kSecondsPerNano = 1e-9;

} // namespace

ProcessUsage processUsage()
{
    ProcessUsage usage;
    timespec cpu{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu);
    usage.cpuSeconds =
        static_cast<double>(cpu.tv_sec) + static_cast<double>(cpu.tv_nsec) * kSecondsPerNano;
    std::ifstream statm("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    if (statm >> totalPages >> residentPages) {
        usage.residentBytes = residentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    }
    return usage;
}

} // namespace basilhall::metrics
