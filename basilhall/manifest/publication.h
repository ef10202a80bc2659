// The record of one manifest publication in the root.
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace basilhall::manifest
{

// Maximum number of change lines per publication in the root, and of characters per line.
inline constexpr std::size_t kMaxKeptChanges = 8;
inline constexpr std::size_t kMaxChangeLength = 160;

// Immutable value.
struct Publication {
    std::uint64_t generation = 0;
    // Generation on which the publication is based.
    std::uint64_t baseGeneration = 0;
    // Who published, as given by the operator or the pipeline.
    std::string publisher;
    // Random ID, unique to the publishing run. After a lost response it shows whether this run or a
    // concurrent publisher wrote the root.
    std::string publicationId;
    WallMillis wallMillis = 0;
    // Number of changes, and the first kMaxKeptChanges of them.
    std::uint64_t changeCount = 0;
    std::vector<std::string> changes;

    auto operator<=>(const Publication &) const = default;
};

// Returns `generation 8 by ci at 2026-01-31T10:00:00Z: 2 changes` and one line per recorded change.
std::vector<std::string> describe(const Publication &publication);

} // namespace basilhall::manifest
