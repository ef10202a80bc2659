// Limits on the size and duration of callers' requests.
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstddef>

namespace basilhall::fleet
{

// Immutable value.
struct IngressLimits {
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    // Maximum time to receive the whole header of a request.
    Duration headerTimeout = std::chrono::seconds(3);
    // Maximum time that a connection stays open without a request.
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const IngressLimits &) const = default;
};

} // namespace basilhall::fleet
