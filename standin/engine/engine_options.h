// How fast and how large an engine stand-in is.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace standin
{

struct EngineOptions {
    std::string model = "feed-mind";
    double prefillTokensPerSecond = 50'000;
    std::chrono::milliseconds tokenInterval{20};
    std::uint64_t maxBatch = 16;
    std::uint64_t cacheTokens = 1'000'000;
    // Words of an answer whose request names no other number.
    std::uint64_t answerTokens = 16;
    // Answers without any delay.
    bool instant = false;
    // Refuses an order whose fencing number is below the highest seen for its session.
    bool fencing = false;
    std::chrono::milliseconds loadLag{0};
    std::chrono::milliseconds cacheEventLag{0};
    double cacheEventLossShare = 0;
};

} // namespace standin
