#include "basilhall/base/base64.h"

#include <array>
#include <cstdint>
#include <openssl/evp.h>

namespace basilhall
{

namespace
{

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

constexpr std::uint8_t kNoDigit = 0xff;

// Value of each digit, kNoDigit for other characters.
constexpr std::array<std::uint8_t, 256> makeValues()
{
    std::array<std::uint8_t, 256> values{};
    values.fill(kNoDigit);
    for (std::size_t i = 0; i < kAlphabet.size(); ++i) {
        values[static_cast<unsigned char>(kAlphabet[i])] = static_cast<std::uint8_t>(i);
    }
    return values;
}

constexpr std::array<std::uint8_t, 256> kValues = makeValues();

const unsigned char *toUnsigned(const char *bytes)
{
    return reinterpret_cast<const unsigned char *>(bytes);
}

unsigned char *toUnsigned(char *bytes)
{
    return reinterpret_cast<unsigned char *>(bytes);
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(toUnsigned(text.data()), toUnsigned(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.empty()) {
        return std::string();
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string bytes(3 * (text.size() / 4), '\0');
    char *out = bytes.data();
    for (std::size_t i = 0; i < text.size(); i += 4) {
        const bool isLast = i + 4 == text.size();
        const std::size_t digits = isLast ? 4 - padding : 4;
        std::uint32_t group = 0;
        std::uint8_t worst = 0;
        for (std::size_t j = 0; j < 4; ++j) {
            const std::uint8_t value =
                j < digits ? kValues[static_cast<unsigned char>(text[i + j])] : std::uint8_t(0);
            worst |= value;
            group = (group << 6U) | value;
        }
        if (worst == kNoDigit) {
            return std::nullopt;
        }
        *out++ = static_cast<char>(group >> 16U);
        *out++ = static_cast<char>(group >> 8U);
        *out++ = static_cast<char>(group);
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace basilhall
