// How important a log line is.
#pragma once

#include <optional>
#include <string_view>

namespace basilhall::logging
{

// In ascending order; a process writes lines of its level and above.
enum class Level {
    Debug,
    Info,
    Warning,
    Error,
    // Nothing is written.
    Off,
};

// Returns the name used in settings: "debug", "info", "warning", "error" or "off".
std::string_view toString(Level level);

// Returns the level named `name`, or nothing if there is none.
std::optional<Level> levelFromName(std::string_view name);

} // namespace basilhall::logging
