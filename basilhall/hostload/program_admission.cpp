#include "basilhall/hostload/program_admission.h"

#include <algorithm>

namespace basilhall::hostload
{

namespace
{

// Delays from which programs are refused, and at which as many as possible are.
constexpr Duration kRefusedFrom = std::chrono::milliseconds(40);
constexpr Duration kUrgentRefusedFrom = std::chrono::milliseconds(80);
constexpr Duration kRefusalRange = std::chrono::milliseconds(160);
// Some programs begin however late the host is.
constexpr double kMaxRefusedShare = 0.95;
constexpr std::uint64_t kHashBuckets = 1024;
constexpr Duration kMinRetry = std::chrono::milliseconds(500);
constexpr Duration kMaxDelayRetry = std::chrono::seconds(2);
constexpr int kRetryPerDelay = 4;
constexpr Duration kRetrySpread = std::chrono::milliseconds(1000);
constexpr std::uint64_t kRetrySteps = 64;
// The loop is passed at least this often: to connect, to send, and for each end of the answer.
constexpr int kLoopPasses = 4;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double refusedShare(Duration loopDelay, std::uint32_t priority)
{
    const Duration from = priority == 0 ? kUrgentRefusedFrom : kRefusedFrom;
    return std::clamp(seconds(loopDelay - from) / seconds(kRefusalRange), 0.0, kMaxRefusedShare);
}

bool refusesProgram(Duration loopDelay, std::uint32_t priority, std::uint64_t programHash)
{
    const double position =
        static_cast<double>(programHash % kHashBuckets) / static_cast<double>(kHashBuckets);
    return position < refusedShare(loopDelay, priority);
}

Duration retryAfter(Duration loopDelay, std::uint64_t programHash)
{
    // Other bits than those that decide which programs are refused.
    const auto step = static_cast<Duration::rep>((programHash >> 32U) % kRetrySteps);
    return kMinRetry + std::min(loopDelay * kRetryPerDelay, kMaxDelayRetry)
        + kRetrySpread * step / static_cast<Duration::rep>(kRetrySteps);
}

Duration minServiceTime(Duration loopDelay)
{
    return loopDelay < kRefusedFrom ? Duration::zero() : loopDelay * kLoopPasses;
}

} // namespace basilhall::hostload
