// Settings of FairQueue.
#pragma once

#include <compare>
#include <cstdint>

namespace basilhall::schedule
{

// Immutable value.
struct OrderSettings {
    // Maximum share of the tokens, in 1/1000, for a class while lower classes wait.
    std::uint32_t maxUrgentSharePerMille = 900;
    std::uint32_t maxNormalSharePerMille = 950;
    // Tokens by which a class may exceed its share before a lower class runs.
    std::int64_t classBurstTokens = 50'000;
    // Tokens of attained service that one second of the program's age offsets.
    std::uint64_t agingTokensPerSecond = 200;
    // Attained service is rounded down to a multiple of this, so that programs of similar size run
    // in the order of arrival.
    std::uint64_t attainedStepTokens = 1;

    auto operator<=>(const OrderSettings &) const = default;
};

} // namespace basilhall::schedule
