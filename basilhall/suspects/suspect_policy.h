// Decides what may be done with a request that endpoints crashed with.
//
//     const Verdict verdict = judge(evidence.suspicion(key), now);
//     if (verdict.treatment == Treatment::Hold) {
//         return refuse(verdict.wait);
//     }
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/suspects/suspicion.h"

#include <compare>
#include <cstdint>

namespace basilhall::suspects
{

enum class Treatment : std::uint8_t {
    // No restriction.
    Free,
    // Away from other suspects, where a crash harms few.
    Apart,
    // As Apart, and one run at a time; not repeated within the same call.
    Alone,
    // Not to be sent to any endpoint.
    Hold,
};

// Immutable value.
struct Verdict {
    Treatment treatment = Treatment::Free;
    // For Hold: time until the request may run again.
    Duration wait{};

    auto operator<=>(const Verdict &) const = default;
};

// Ends after which a request may run only alone, and is held.
inline constexpr std::uint32_t kEndsForAlone = 2;
inline constexpr std::uint32_t kEndsForHold = 3;
// The others learn of a run, or of the end of an endpoint, within this time.
inline constexpr Duration kAlonePause = std::chrono::milliseconds(500);
// Time for which a request is held after it ended kEndsForHold endpoints. Each further end
// multiplies it by kHoldFactor, up to kMaxHold.
inline constexpr Duration kFirstHold = std::chrono::seconds(60);
inline constexpr std::int64_t kHoldFactor = 4;
inline constexpr Duration kMaxHold = std::chrono::minutes(30);

Verdict judge(const Suspicion &suspicion, Instant now);

} // namespace basilhall::suspects
