// Random names such as incarnations, and the random source of a process.
#pragma once

#include <random>
#include <string>

namespace basilhall
{

// Returns a generator seeded with 256 bits of the system's random device.
std::mt19937_64 makeRandomSource();

// Returns 32 lower-case hexadecimal digits.
std::string randomHexName(std::mt19937_64 &random);

} // namespace basilhall
