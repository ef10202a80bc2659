// One part of a prompt: requests that share leading parts share the engine's work on them.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace basilhall::placement
{

// Immutable value.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;

    auto operator<=>(const PromptPart &) const = default;
};

using Prompt = std::vector<PromptPart>;

} // namespace basilhall::placement
