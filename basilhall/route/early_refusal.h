// Refuses a new program whose first call would wait too long.
//
//     if (const auto error = refuseEarly(settings, {.isNewProgram = true}, choice)) {
//         return *error;   // Overloaded, not run, with the time to retry after
//     }
//
// A running program is not refused, because its earlier turns would be lost. Urgent calls are never
// refused.
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/route/query.h"

#include <optional>

namespace basilhall::route
{

// Immutable value.
struct EarlyRefusalSettings {
    // Maximum expected wait of a new program's first call; zero for no limit.
    Duration maxWait = std::chrono::seconds(8);

    auto operator<=>(const EarlyRefusalSettings &) const = default;
};

// Immutable value.
struct Arrival {
    bool isNewProgram = false;
    bool isUrgent = false;

    auto operator<=>(const Arrival &) const = default;
};

// Returns nothing if the call is accepted.
std::optional<Error> refuseEarly(const EarlyRefusalSettings &settings, const Arrival &arrival,
                                 const Choice &choice);

} // namespace basilhall::route
