// Limits of a journal writer.
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstddef>
#include <limits>

namespace basilhall::journal
{

// Immutable value.
struct WriterOptions {
    // Minimum time between two creates. A record that arrives after the writer was idle for this
    // time is sent immediately. See flushIntervalFor().
    Duration flushInterval = std::chrono::milliseconds(20);
    // Size from which records go into another batch. While one waits behind it, a batch is sent
    // without waiting for flushInterval. A batch is never larger than kMaxBatchBytes.
    std::size_t batchBytes = std::numeric_limits<std::size_t>::max();
    // Number of bytes not yet durable above which the owner should refuse new work.
    std::size_t softPendingBytes = 16 * 1024 * 1024;
    // Maximum number of bytes not yet durable; records that would exceed it are not accepted.
    std::size_t maxPendingBytes = 64 * 1024 * 1024;

    auto operator<=>(const WriterOptions &) const = default;
};

// Returns the flush interval with which `writers` writers together make at most `writesPerSecond`
// writes, but at least 5 ms.
constexpr Duration flushIntervalFor(std::size_t writers, std::size_t writesPerSecond)
{
    constexpr Duration kShortest = std::chrono::milliseconds(5);
    const Duration shared = Duration(std::chrono::seconds(1)) * writers / writesPerSecond;
    return shared < kShortest ? kShortest : shared;
}

} // namespace basilhall::journal
