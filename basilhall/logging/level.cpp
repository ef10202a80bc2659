#include "basilhall/logging/level.h"

#include <algorithm>
#include <array>

namespace basilhall::logging
{

namespace
{

struct LevelName {
    Level level;
    std::string_view name;
};

constexpr std::array kNames{
    LevelName{Level::Debug, "debug"},     LevelName{Level::Info, "info"},
    LevelName{Level::Warning, "warning"}, LevelName{Level::Error, "error"},
    LevelName{Level::Off, "off"},
};

} // namespace

std::string_view toString(Level level)
{
    return kNames.at(static_cast<std::size_t>(level)).name;
}

std::optional<Level> levelFromName(std::string_view name)
{
    const auto *const found = std::find_if(
        kNames.begin(), kNames.end(), [name](const LevelName &row) { return row.name == name; });
    if (found == kNames.end()) {
        return std::nullopt;
    }
    return found->level;
}

} // namespace basilhall::logging
