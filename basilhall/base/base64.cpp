#include "basilhall/base/base64.h"

#include <openssl/evp.h>

namespace basilhall
{

namespace
{

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

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
    const std::string_view digits = text.substr(0, text.size() - padding);
    if (text.size() % 4 != 0 || digits.find_first_not_of(kAlphabet) != std::string_view::npos) {
        return std::nullopt;
    }
    std::string bytes(3 * (text.size() / 4), '\0');
    const int length = EVP_DecodeBlock(toUnsigned(bytes.data()), toUnsigned(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    bytes.resize(bytes.size() - padding);
    return bytes;
}

} // namespace basilhall
