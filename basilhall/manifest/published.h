// The result of a successful publication.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace basilhall::manifest
{

// Immutable value.
struct Published {
    std::uint64_t generation = 0;
    // True if the content was already published and nothing was written.
    bool isUnchanged = false;
    // Every change, see changesBetween().
    std::vector<std::string> changes;
    std::size_t chunks = 0;
    // Chunks that had to be written.
    std::size_t newChunks = 0;

    auto operator<=>(const Published &) const = default;
};

} // namespace basilhall::manifest
