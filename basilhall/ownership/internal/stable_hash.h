// A hash function whose values are the same in every process and every release.
//
//     const std::uint64_t hash = stableHash("p1");
#pragma once

#include <cstdint>
#include <string_view>

namespace basilhall::ownership::internal
{

// Mixes the bits of `value` (the finalizer of SplitMix64).
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

// Hashes `text` (64-bit FNV-1a with a finalizer).
constexpr std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
    }
    return mixBits(hash);
}

} // namespace basilhall::ownership::internal
