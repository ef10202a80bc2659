#include "basilhall/base/sha256.h"

#include <array>
#include <openssl/sha.h>

namespace basilhall
{

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string hex;
    hex.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        hex.push_back(kDigits[byte >> 4]);
        hex.push_back(kDigits[byte & 0x0f]);
    }
    return hex;
}

} // namespace basilhall
