// A token bucket whose capacity is reduced by the outstanding requests: those that were taken but
// are not yet known to have been sent.
//
//     Bucket bucket({.milliPerSecond = 5000, .burst = 10}, now);
//     if (bucket.take(3, now)) { ... }   // 3 requests are outstanding
//     bucket.settle(3, later);           // they were sent; the bucket can refill to its burst
//
// The level plus the outstanding requests never exceed the burst, so the limit holds in every
// window even if requests are sent late. Integer arithmetic avoids drift from frequent reads.
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/limit/rate.h"

#include <cstdint>
#include <optional>

namespace basilhall::limit
{

// Not thread-safe. A `now` earlier than the latest one seen is treated as the latest one.
class Bucket
{
public:
    // Starts full.
    Bucket(const Rate &rate, Instant now);

    // Starts empty and refills from `from` on.
    static Bucket empty(const Rate &rate, Instant from);
    // Starts with `requests`, capped at the burst, and refills from `from` on.
    static Bucket filled(const Rate &rate, std::uint32_t requests, Instant from);

    // Number of whole requests that can be taken.
    std::uint32_t available(Instant now);
    // Takes all of `requests` or none. They are outstanding until settled or refunded.
    bool take(std::uint32_t requests, Instant now);
    // Records that outstanding `requests` were sent or can no longer be sent.
    void settle(std::uint32_t requests, Instant now);
    // Returns outstanding `requests` that were never sent and never will be, so that they can be
    // taken again.
    void refund(std::uint32_t requests, Instant now);
    // Keeps the outstanding requests. Additional burst fills at the new rate.
    void setRate(const Rate &rate, Instant now);

    // Returns when one request can be taken if nothing is settled until then, or nullopt if never.
    std::optional<Instant> nextAvailable(Instant now);

    const Rate &rate() const { return m_rate; }
    std::uint32_t outstanding() const { return m_outstanding; }

private:
    void refill(Instant now);
    std::int64_t capacityUnits() const;
    std::int64_t nanosUntil(std::int64_t units) const;

    Rate m_rate;
    // In units of 1e-12 requests, so that milliPerSecond * nanoseconds is exact.
    std::int64_t m_units = 0;
    std::uint32_t m_outstanding = 0;
    Instant m_updated;
};

} // namespace basilhall::limit
