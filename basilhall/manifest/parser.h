// Parses a manifest in TOML, as written by a build pipeline.
//
//     const ParsedContent parsed = parse("manifest.toml", text);
//     for (const config::Fault &fault : parsed.faults) {
//         std::cerr << toString(fault) << '\n';
//     }
#pragma once

#include "basilhall/config/fault.h"
#include "basilhall/manifest/content.h"

#include <optional>
#include <string>
#include <string_view>

namespace basilhall::manifest
{

struct ParsedContent {
    // Set if there is no fault.
    std::optional<Content> content;
    // All faults, ordered by position. After a syntax error no other faults are reported.
    config::Faults faults;
};

// `file` is the file name reported in the faults. Thread-safe.
ParsedContent parse(std::string file, std::string_view text);

// Returns a fault for each immutable value that differs between `inForce` and `next`.
config::Faults checkChange(const std::string &file, const Content &inForce, const Content &next);

} // namespace basilhall::manifest
