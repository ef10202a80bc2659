// Where the log goes and what it looks like.
#pragma once

#include "basilhall/logging/level.h"

#include <compare>
#include <string>

namespace basilhall::logging
{

enum class Format {
    // `2026-01-31T10:00:00.000Z INFO entry: Took over a shard. shard=7`
    Text,
    // One JSON object a line.
    Json,
};

// Immutable value.
struct LogSettings {
    Level level = Level::Info;
    Format format = Format::Text;
    // Empty for standard output. A file is kept below kMaxFileBytes and rolled kMaxFiles times.
    std::string file;

    auto operator<=>(const LogSettings &) const = default;
};

} // namespace basilhall::logging
