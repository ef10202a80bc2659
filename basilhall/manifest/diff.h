// Describes the differences between two manifests in human-readable lines.
//
//     for (const std::string &change : changesBetween(old, next)) { ... }
//     // team "haulers": burst 100 -> 200
//     // team "haulers": key 1a2b3c4d5e6f... withdrawn
#pragma once

#include "basilhall/manifest/content.h"

#include <string>
#include <vector>

namespace basilhall::manifest
{

// Returns one line for each thing added or removed and for each field changed, in the order of
// the content. Empty if the two are equal. Key digests are shortened to their first 12 digits.
std::vector<std::string> changesBetween(const Content &before, const Content &after);

// Returns `team "haulers": key 1a2b3c4d5e6f...` for each key of `before` that no longer works after
// the change, keys of removed teams included.
std::vector<std::string> withdrawnKeys(const Content &before, const Content &after);

} // namespace basilhall::manifest
