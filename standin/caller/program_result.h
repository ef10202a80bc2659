// What became of one program of the caller.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace standin
{

struct ProgramResult {
    std::string program;
    std::size_t turns = 0;
    std::size_t serviceCalls = 0;
    std::size_t streamed = 0;
    std::size_t retries = 0;
    // Calls whose connection broke after they were sent.
    std::size_t cut = 0;
    // Non-idempotent calls whose outcome nobody can tell.
    std::size_t unknown = 0;
    std::uint64_t spentTokens = 0;
    std::chrono::milliseconds time{0};
    // Empty if all is as it must be.
    std::vector<std::string> faults;
};

} // namespace standin
