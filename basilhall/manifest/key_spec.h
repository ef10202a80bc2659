// The table of manifest keys from which the reference page is generated.
#pragma once

#include <span>
#include <string_view>

namespace basilhall::manifest
{

// Describes one key of a manifest table.
struct KeySpec {
    // `teams`, `models`, `routes` or `endpoints`; empty for top-level keys.
    std::string_view table;
    std::string_view key;
    std::string_view type;
    std::string_view range;
    // "required" or the default.
    std::string_view fallback;
    std::string_view meaning;
};

// Returns all keys in the order of the reference page.
std::span<const KeySpec> keyTable();

} // namespace basilhall::manifest
