// What a request asks of the endpoint that runs it.
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/placement/prompt_part.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace basilhall::placement
{

// Immutable value.
struct Work {
    std::string service;
    // Empty for plain services.
    Prompt prompt;
    // Tokens that the engine will hold for it, prompt and answer.
    std::uint64_t tokens = 0;

    auto operator<=>(const Work &) const = default;
};

// Requests at one endpoint.
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
