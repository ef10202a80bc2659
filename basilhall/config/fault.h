// A fault in a document that an operator or a pipeline wrote.
//
//     for (const Fault &fault : document.faults()) { std::cerr << toString(fault) << '\n'; }
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace basilhall::config
{

// Immutable value; ordered by position.
struct Fault {
    std::string file;
    // Both count from 1; 0 if the fault has no position, such as a missing file.
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    // Dotted path of the key, such as `teams.haulers.burst`; empty for syntax errors.
    std::string field;
    // Description without the position, such as `must be at least 1`.
    std::string message;

    auto operator<=>(const Fault &) const = default;
};

using Faults = std::vector<Fault>;

// Returns `manifest.toml:12:9: teams.haulers.burst: must be at least 1`.
std::string toString(const Fault &fault);

} // namespace basilhall::config
