// A team's limit: its rate and burst.
//
//     const Rate rate{.milliPerSecond = 5000, .burst = 10};   // 5 requests per second
//     const Rate first = sliceOf(rate, 0, slicesFor(rate, 3));
#pragma once

#include <compare>
#include <cstdint>

namespace basilhall::limit
{

// Maximum burst, in requests. Keeps the bucket's arithmetic within 64 bits.
inline constexpr std::uint32_t kMaxBurst = 4'000'000;

// Immutable value. In any window of w seconds at most burst + w * milliPerSecond / 1000 requests
// are admitted.
struct Rate {
    // Requests per 1000 seconds.
    std::uint64_t milliPerSecond = 0;
    // Requests. Values above kMaxBurst are treated as kMaxBurst.
    std::uint32_t burst = 0;

    auto operator<=>(const Rate &) const = default;
};

// Returns slice `index` when `rate` is divided into `count` slices. The slices add up to `rate`
// exactly, and no slice has a rate above 0 with a burst of 0.
Rate sliceOf(const Rate &rate, std::uint32_t index, std::uint32_t count);

// Returns the number of slices to divide the limit into, at most `maxSlices`. Each slice has a
// separate limiter, so that the loss of a host affects only part of a team's rate. Slices of a
// small burst would refuse calls that the undivided burst admits, so a slice has at least
// kMinSliceBurst.
std::uint32_t slicesFor(const Rate &rate, std::uint32_t maxSlices);

// Minimum burst of a slice, in requests.
inline constexpr std::uint32_t kMinSliceBurst = 12;

} // namespace basilhall::limit
