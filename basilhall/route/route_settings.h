// Settings for the choice of an endpoint.
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>

namespace basilhall::route
{

// Immutable value.
struct RouteSettings {
    // An endpoint gets no new calls if its agent has not reported for longer than this.
    Duration reportTimeout = std::chrono::seconds(3);
    // A report includes the calls that were sent at least this long before it arrived.
    Duration reportLag = std::chrono::milliseconds(50);
    // Number of random endpoints compared, besides those that have the program's prefix cached. In
    // a pool of at most `fullScanLimit` endpoints, all are compared.
    std::uint32_t sampleSize = 4;
    std::uint32_t fullScanLimit = 12;
    // Prompt tokens that an endpoint prefills per second, and tokens that one running call
    // generates per second.
    double prefillTokensPerSecond = 8000;
    double decodeTokensPerSecond = 40;
    // Estimated tokens of each call ahead in the queue of an endpoint.
    std::uint64_t tokensPerQueuedCall = 110;
    // Cost, in seconds, of an endpoint that runs as many calls as it can and has no queue;
    // proportionally less for fewer calls.
    double batchSlowdownSeconds = 0.5;
    // Cost of an uncached prompt token as a multiple of its prefill time. The default is more
    // than 1, because the token also takes cache memory from other programs.
    double uncachedWeight = 4;
    // Cost of an endpoint outside of the caller's failure domain.
    Duration crossDomainCost = std::chrono::milliseconds(1);
    // Maximum number of programs per pool whose last endpoints are recorded; the least recently
    // used are evicted first.
    std::uint32_t maxPrograms = 100'000;

    auto operator<=>(const RouteSettings &) const = default;
};

} // namespace basilhall::route
