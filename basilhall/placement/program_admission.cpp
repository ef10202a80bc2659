#include "basilhall/placement/program_admission.h"

#include <algorithm>

namespace basilhall::placement
{

namespace
{

// Fraction of the slots from which turns begin to wait at some engines, since no gateway knows the
// load exactly.
constexpr double kFullOccupancy = 0.8;
// Below this fraction of the slots, no program is refused.
constexpr double kMinOccupancy = 0.5;
// Programs may take about twice their time on idle engines; the turns are a part of it.
constexpr double kMaxStretch = 2.2;
// Load, relative to the limits above, from which the most urgent programs are refused too.
constexpr double kUrgentLoad = 1.2;
// Load above the limit at which all programs would be refused, and the shares that are refused at
// most: some of each kind are served even in the longest overload, and more of the urgent ones.
constexpr double kLoadRange = 0.4;
constexpr double kMaxRefusedShare = 0.8;
constexpr double kMaxRefusedUrgentShare = 0.7;
constexpr std::uint64_t kHashBuckets = 1024;

} // namespace

double refusedShare(const EngineLoad &load, std::uint32_t priority)
{
    if (load.slots == 0) {
        return 0;
    }
    const double occupancy = static_cast<double>(load.requests) / static_cast<double>(load.slots);
    if (occupancy < kMinOccupancy) {
        return 0;
    }
    const double relative = std::max(occupancy / kFullOccupancy, load.stretch / kMaxStretch);
    const double limit = priority == 0 ? kUrgentLoad : 1.0;
    const double maxShare = priority == 0 ? kMaxRefusedUrgentShare : kMaxRefusedShare;
    return std::clamp((relative - limit) / kLoadRange, 0.0, maxShare);
}

bool refusesProgram(const EngineLoad &load, std::uint32_t priority, std::uint64_t programHash)
{
    const double position =
        static_cast<double>(programHash % kHashBuckets) / static_cast<double>(kHashBuckets);
    return position < refusedShare(load, priority);
}

} // namespace basilhall::placement
