// Describes a request, and the load of requests at an endpoint, for the choice of an endpoint.
//
//     const Work work{"engines", prompt, promptTokens + maxOutputTokens};
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/placement/prompt_part.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace basilhall::placement
{

// Immutable value.
struct Work {
    std::string service;
    // Empty for plain services.
    Prompt prompt;
    // Tokens of prompt and answer that the engine holds for the request.
    std::uint64_t tokens = 0;
    // The request may crash the endpoint, so one with few other requests is preferred.
    bool isSuspect = false;
    // Only endpoints with this version of their software may run it; any may if nullopt.
    std::optional<std::string> version{};
    // Only endpoints in these failure domains may run it; all may if nullopt.
    std::optional<std::set<FailureDomain>> domains{};

    auto operator<=>(const Work &) const = default;
};

// Unfinished requests at one endpoint, and their tokens.
struct Load {
    std::uint32_t requests = 0;
    std::uint64_t tokens = 0;

    auto operator<=>(const Load &) const = default;
};

// A prompt that was sent to an endpoint.
struct PromptUse {
    EndpointName endpoint;
    Prompt prompt;

    auto operator<=>(const PromptUse &) const = default;
};

} // namespace basilhall::placement
