// Validation of names in a manifest.
#pragma once

#include <cstddef>
#include <string_view>

namespace basilhall::manifest
{

inline constexpr std::size_t kMaxNameLength = 63;

// True for 1 to kMaxNameLength letters, digits, '-', '_' and '.'.
bool isName(std::string_view text);

// Like isName(), but also allows '/' and ':', which occur in names of published models.
bool isModelName(std::string_view text);

// True for 64 lower-case hexadecimal digits.
bool isKeyDigest(std::string_view text);

} // namespace basilhall::manifest
