// A service: a set of interchangeable endpoints.
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace basilhall::fleet
{

// Capacity of a model engine, and the token count of its events.
struct EngineTraits {
    // Maximum number of requests in one batch.
    std::uint32_t batchSlots = 1;
    // Capacity of the cache, in tokens, shared by running requests and cached prompts.
    std::uint64_t cacheTokens = 0;
    // Generated tokens per event of a stream.
    std::uint32_t tokensPerEvent = 1;

    auto operator<=>(const EngineTraits &) const = default;
};

// Immutable value.
struct Service {
    std::string name;
    // Maximum number of connections that one endpoint accepts from all callers together.
    std::uint32_t connectionLimit = 0;
    // Present for model engines.
    std::optional<EngineTraits> engine;
    // Time that an endpoint is cold after a start.
    Duration coldTime{};
    // Requests a second that a cold endpoint accepts from all gateways together; 0 if there is no
    // such limit.
    double coldPerSecond = 0;

    auto operator<=>(const Service &) const = default;
};

} // namespace basilhall::fleet
