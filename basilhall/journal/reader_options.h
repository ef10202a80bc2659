// Limits of a journal reader.
#pragma once

#include <compare>
#include <cstddef>

namespace basilhall::journal
{

// Immutable value.
struct ReaderOptions {
    // Maximum number of objects in the read-ahead window.
    std::size_t maxParallelReads = 8;
    // Number of bytes of ready records, not yet taken by the caller, from which no further read is
    // planned.
    std::size_t maxReadyBytes = 8 * 1024 * 1024;

    auto operator<=>(const ReaderOptions &) const = default;
};

} // namespace basilhall::journal
