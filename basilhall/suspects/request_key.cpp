#include "basilhall/suspects/request_key.h"

namespace basilhall::suspects
{

namespace
{

// FNV-1a, 64 bits.
constexpr std::uint64_t kOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kPrime = 0x100000001b3ULL;
constexpr unsigned kBitsPerByte = 8;

std::uint64_t addByte(std::uint64_t hash, std::uint8_t byte)
{
    return (hash ^ byte) * kPrime;
}

// Adds the length first, so that the bounds between the parts count.
std::uint64_t addPart(std::uint64_t hash, std::string_view part)
{
    for (std::uint64_t length = part.size(), i = 0; i < sizeof length; ++i) {
        hash = addByte(hash, static_cast<std::uint8_t>(length >> (i * kBitsPerByte)));
    }
    for (const char c : part) {
        hash = addByte(hash, static_cast<std::uint8_t>(c));
    }
    return hash;
}

} // namespace

RequestKey requestKey(const RequestIdentity &identity)
{
    std::uint64_t hash = kOffset;
    for (const std::string_view part :
         {identity.team, identity.method, identity.host, identity.target, identity.body}) {
        hash = addPart(hash, part);
    }
    return {hash};
}

} // namespace basilhall::suspects
