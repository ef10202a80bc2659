// An object to read during the takeover of shards.
#pragma once

#include "basilhall/store/object_key.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace basilhall::journal
{

// Immutable value.
struct ReadStep {
    store::ObjectKey key;
    // Shards whose records are needed from this object.
    std::vector<std::uint32_t> shards;

    auto operator<=>(const ReadStep &) const = default;
};

} // namespace basilhall::journal
