// A model served by engines.
#pragma once

#include "basilhall/base/identifier.h"

#include <compare>
#include <cstdint>

namespace basilhall::manifest
{

// Immutable value.
struct Model {
    ModelName name;
    // Maximum tokens of prompt and completion together.
    std::uint64_t maxContextTokens = 0;
    std::uint64_t maxCompletionTokens = 0;

    auto operator<=>(const Model &) const = default;
};

} // namespace basilhall::manifest
