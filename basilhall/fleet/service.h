// A set of equal endpoints.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace basilhall::fleet
{

// What a model engine holds and how it counts.
struct EngineTraits {
    // Requests in one batch.
    std::uint32_t batchSlots = 1;
    // Tokens that running requests and cached prompts share.
    std::uint64_t cacheTokens = 0;
    // Generated tokens that one event of a stream stands for.
    std::uint32_t tokensPerEvent = 1;

    auto operator<=>(const EngineTraits &) const = default;
};

// Immutable value.
struct Service {
    std::string name;
    // Connections that one endpoint accepts from all callers.
    std::uint32_t connectionLimit = 0;
    // Present for model engines.
    std::optional<EngineTraits> engine;

    auto operator<=>(const Service &) const = default;
};

} // namespace basilhall::fleet
