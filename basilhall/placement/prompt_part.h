// A part of a prompt. Requests with the same leading parts can reuse the engine's cache of them.
//
//     const Prompt prompt{{0x5c1e07a2, 800}, {0x91bd3f06, 410}};
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
