// Base64 with padding, as the object API holds binary data.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace basilhall
{

std::string encodeBase64(std::string_view bytes);

// Returns nothing if `text` is not base64 with padding.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace basilhall
