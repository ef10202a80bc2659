// What callers may send, and how long they may take.
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
    // For the whole header of a request.
    Duration headerTimeout = std::chrono::seconds(3);
    // For a connection without a request.
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const IngressLimits &) const = default;
};

} // namespace basilhall::fleet
