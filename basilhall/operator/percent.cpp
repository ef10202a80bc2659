#include "basilhall/operator/percent.h"

#include <charconv>

namespace basilhall::operators
{

namespace
{

constexpr std::string_view kDigits = "0123456789ABCDEF";

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
        || std::string_view("-._~").find(c) != std::string_view::npos;
}

} // namespace

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        if (isUnreserved(c)) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += kDigits[byte >> 4];
        encoded += kDigits[byte & 0x0f];
    }
    return encoded;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        const std::string_view digits = text.substr(i + 1, 2);
        unsigned value = 0;
        const char *const end = digits.data() + digits.size();
        const auto [parsedEnd, status] = std::from_chars(digits.data(), end, value, 16);
        if (digits.size() != 2 || status != std::errc() || parsedEnd != end) {
            return std::nullopt;
        }
        decoded += static_cast<char>(value);
        i += 2;
    }
    return decoded;
}

} // namespace basilhall::operators
