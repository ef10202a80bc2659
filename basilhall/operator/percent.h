// Percent-encoding of one segment of a path.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace basilhall::operators
{

// Encodes all but letters, digits, '-', '.', '_' and '~'.
std::string percentEncode(std::string_view text);

// Returns nothing if a '%' is not followed by two hexadecimal digits.
std::optional<std::string> percentDecode(std::string_view text);

} // namespace basilhall::operators
