#include "basilhall/limit/limiter.h"

#include <algorithm>

namespace basilhall::limit
{

namespace
{

// Retry time for callers that are refused for lack of a lease. Renewals are retried sooner.
constexpr Duration kNoLeaseRetry = std::chrono::seconds(1);

Error notYetAllowed(const TeamName &team, Duration retryAfter)
{
    const std::string message =
        "the limiter of team \"" + team.value() + "\" is not allowed to grant yet";
    return Error(ErrorKind::Unavailable, message).withNotRun().withRetryAfter(retryAfter);
}

} // namespace

Limiter::Limiter(const LimitTimes &times)
    : m_times(times)
    , m_leaseEnd(Instant::min())
{
}

void Limiter::onLeaseRenewed(Instant sentAt)
{
    m_leaseEnd = std::max(m_leaseEnd, sentAt + m_times.lease);
}

void Limiter::adoptFresh(const SliceKey &slice, const Rate &rate, Instant now, Tenure tenure)
{
    m_slices.try_emplace(slice, Slice{now, tenure, TeamLimit(Bucket(rate, now), m_times)});
}

void Limiter::adoptAfter(const SliceKey &slice, const Rate &rate, Instant from, Tenure tenure)
{
    m_slices.try_emplace(slice, Slice{from, tenure, TeamLimit(Bucket::empty(rate, from), m_times)});
}

void Limiter::adoptReleased(const SliceKey &slice, const Rate &rate, std::uint32_t requests,
                            Instant from)
{
    const Bucket bucket = Bucket::filled(rate, requests, from);
    m_slices.try_emplace(slice, Slice{from, Tenure::Lease, TeamLimit(bucket, m_times)});
}

std::uint32_t Limiter::remaining(const SliceKey &slice, Instant now)
{
    const auto found = m_slices.find(slice);
    const bool mayGrant = found != m_slices.end() && now >= found->second.from && now < m_leaseEnd;
    return mayGrant ? found->second.limit.available(now) : 0;
}

void Limiter::setRate(const SliceKey &slice, const Rate &rate, Instant now)
{
    const auto found = m_slices.find(slice);
    if (found != m_slices.end() && found->second.limit.rate() != rate) {
        found->second.limit.setRate(rate, now);
    }
}

void Limiter::drop(const SliceKey &slice)
{
    m_slices.erase(slice);
}

Result<Grant> Limiter::acquire(const Incarnation &host, const GrantRequest &ask, Instant now)
{
    const auto found = m_slices.find(SliceKey{ask.team, ask.slice});
    if (found == m_slices.end()) {
        const std::string message =
            "limit of team \"" + ask.team.value() + "\" is not held by this host";
        return Error(ErrorKind::NotOwner, message).withNotRun();
    }
    Slice &slice = found->second;
    if (now < slice.from) {
        return notYetAllowed(ask.team, slice.from - now);
    }
    if (slice.tenure == Tenure::Lease && now >= m_leaseEnd) {
        return notYetAllowed(ask.team, kNoLeaseRetry);
    }
    return slice.limit.acquire(host, ask, now);
}

bool Limiter::holds(const SliceKey &slice) const
{
    return m_slices.contains(slice);
}

} // namespace basilhall::limit
