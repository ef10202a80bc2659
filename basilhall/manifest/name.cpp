#include "basilhall/manifest/name.h"

#include <algorithm>

namespace basilhall::manifest
{

namespace
{

constexpr std::size_t kDigestLength = 64;

bool isAlphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isMadeOf(std::string_view text, std::string_view others)
{
    return !text.empty() && text.size() <= kMaxNameLength
        && std::all_of(text.begin(), text.end(), [others](char c) {
               return isAlphanumeric(c) || others.find(c) != std::string_view::npos;
           });
}

} // namespace

bool isName(std::string_view text)
{
    return isMadeOf(text, "-_.");
}

bool isModelName(std::string_view text)
{
    return isMadeOf(text, "-_./:");
}

bool isKeyDigest(std::string_view text)
{
    return text.size() == kDigestLength
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace basilhall::manifest
