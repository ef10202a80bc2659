// SHA-256 digests, for keys at rest and for content names.
#pragma once

#include <string>
#include <string_view>

namespace basilhall
{

// Returns the digest of `data` as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view data);

} // namespace basilhall
