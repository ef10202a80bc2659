// The load of an endpoint as last reported by its agent.
#pragma once

#include <compare>
#include <cstdint>

namespace basilhall::route
{

// Immutable value.
struct EndpointLoad {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    // Maximum number of concurrent calls.
    std::uint32_t capacity = 1;
    // Estimated tokens of the queued calls.
    std::uint64_t queuedTokens = 0;
    bool draining = false;
    bool healthy = true;

    auto operator<=>(const EndpointLoad &) const = default;
};

} // namespace basilhall::route
