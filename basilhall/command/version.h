// Version of the binary, from the build.
#pragma once

#include <string_view>

namespace basilhall::command
{

inline constexpr std::string_view kVersion = BASILHALL_VERSION;

} // namespace basilhall::command
