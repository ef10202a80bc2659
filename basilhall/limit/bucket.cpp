#include "basilhall/limit/bucket.h"

#include <algorithm>

namespace basilhall::limit
{

namespace
{

constexpr std::int64_t kUnitsPerRequest = 1'000'000'000'000;
// Keeps the rate times one nanosecond far below the 64-bit range.
constexpr std::uint64_t kMaxMilliPerSecond = 1'000'000'000'000;

Rate clamped(const Rate &rate)
{
    return Rate{std::min(rate.milliPerSecond, kMaxMilliPerSecond), std::min(rate.burst, kMaxBurst)};
}

} // namespace

Bucket::Bucket(const Rate &rate, Instant now)
    : m_rate(clamped(rate))
    , m_units(kUnitsPerRequest * m_rate.burst)
    , m_updated(now)
{
}

Bucket Bucket::empty(const Rate &rate, Instant from)
{
    Bucket bucket(rate, from);
    bucket.m_units = 0;
    return bucket;
}

Bucket Bucket::filled(const Rate &rate, std::uint32_t requests, Instant from)
{
    Bucket bucket(rate, from);
    bucket.m_units = std::min(bucket.m_units, requests * kUnitsPerRequest);
    return bucket;
}

std::uint32_t Bucket::available(Instant now)
{
    refill(now);
    return static_cast<std::uint32_t>(m_units / kUnitsPerRequest);
}

bool Bucket::take(std::uint32_t requests, Instant now)
{
    if (available(now) < requests) {
        return false;
    }
    m_units -= kUnitsPerRequest * requests;
    m_outstanding += requests;
    return true;
}

void Bucket::settle(std::uint32_t requests, Instant now)
{
    refill(now);
    m_outstanding -= std::min(requests, m_outstanding);
}

void Bucket::refund(std::uint32_t requests, Instant now)
{
    refill(now);
    const std::uint32_t returned = std::min(requests, m_outstanding);
    m_outstanding -= returned;
    m_units = std::min(m_units + kUnitsPerRequest * returned, capacityUnits());
}

void Bucket::setRate(const Rate &rate, Instant now)
{
    refill(now);
    m_rate = clamped(rate);
    m_units = std::min(m_units, capacityUnits());
}

std::optional<Instant> Bucket::nextAvailable(Instant now)
{
    refill(now);
    if (m_units >= kUnitsPerRequest) {
        return m_updated;
    }
    if (capacityUnits() < kUnitsPerRequest || m_rate.milliPerSecond == 0) {
        return std::nullopt;
    }
    return m_updated + Duration(nanosUntil(kUnitsPerRequest));
}

void Bucket::refill(Instant now)
{
    if (now <= m_updated) {
        return;
    }
    const std::int64_t elapsed = (now - m_updated).count();
    m_updated = now;
    if (m_rate.milliPerSecond == 0 || m_units >= capacityUnits()) {
        return;
    }
    if (elapsed >= nanosUntil(capacityUnits())) {
        m_units = capacityUnits();
        return;
    }
    m_units += elapsed * static_cast<std::int64_t>(m_rate.milliPerSecond);
}

std::int64_t Bucket::capacityUnits() const
{
    return m_rate.burst > m_outstanding ? kUnitsPerRequest * (m_rate.burst - m_outstanding) : 0;
}

// Rounds up. Requires a rate above 0.
std::int64_t Bucket::nanosUntil(std::int64_t units) const
{
    const auto rate = static_cast<std::int64_t>(m_rate.milliPerSecond);
    return (units - m_units + rate - 1) / rate;
}

} // namespace basilhall::limit
