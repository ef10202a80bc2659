// Reads the files that a command names. Included by the sources of this folder alone.
#pragma once

#include "basilhall/base/result.h"

#include <string>

namespace basilhall::command::internal
{

// Files above this size are refused, in bytes.
inline constexpr std::uintmax_t kMaxFileBytes = 256UL * 1024 * 1024;

// NotFound or InvalidRequest names the file.
Result<std::string> readFile(const std::string &path);

} // namespace basilhall::command::internal
