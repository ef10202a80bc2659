#include "basilhall/limit/team_limit.h"

#include <algorithm>

namespace basilhall::limit
{

TeamLimit::TeamLimit(Bucket bucket, const LimitTimes &times)
    : m_bucket(bucket)
    , m_times(times)
{
}

Result<Grant> TeamLimit::acquire(const Incarnation &host, const GrantRequest &ask, Instant now)
{
    expire(now);
    settle(host, ask.settled, now);
    if (const OutstandingGrant *earlier = find(host, ask.number)) {
        return Grant{earlier->requests, earlier->validity};
    }
    const std::uint32_t granted = std::min(ask.requests, m_bucket.available(now));
    if (granted == 0 || m_grants.size() >= kMaxOutstandingGrants) {
        return refusal(ask.team, now);
    }
    m_bucket.take(granted, now);
    const Duration validity = ask.requests > 1 ? m_times.validity : m_times.directValidity;
    m_grants.push_back(
        {now + validity + m_times.maxSendDelay, host, ask.number, granted, validity});
    std::push_heap(m_grants.begin(), m_grants.end(), expiresLater);
    return Grant{granted, validity};
}

void TeamLimit::setRate(const Rate &rate, Instant now)
{
    expire(now);
    m_bucket.setRate(rate, now);
}

bool TeamLimit::expiresLater(const OutstandingGrant &a, const OutstandingGrant &b)
{
    return a.expires > b.expires;
}

// Settles grants in the order of expiry, since outstanding requests limit how far the bucket
// refills.
void TeamLimit::expire(Instant now)
{
    while (!m_grants.empty() && m_grants.front().expires <= now) {
        std::pop_heap(m_grants.begin(), m_grants.end(), expiresLater);
        m_bucket.settle(m_grants.back().requests, m_grants.back().expires);
        m_grants.pop_back();
    }
}

void TeamLimit::settle(const Incarnation &host, std::uint64_t settled, Instant now)
{
    const std::size_t erased = std::erase_if(m_grants, [&](const OutstandingGrant &grant) {
        const bool isSettled = grant.number <= settled && grant.host == host;
        if (isSettled) {
            m_bucket.settle(grant.requests, now);
        }
        return isSettled;
    });
    if (erased > 0) {
        std::make_heap(m_grants.begin(), m_grants.end(), expiresLater);
    }
}

const TeamLimit::OutstandingGrant *TeamLimit::find(const Incarnation &host,
                                                   std::uint64_t number) const
{
    const auto found =
        std::find_if(m_grants.begin(), m_grants.end(), [&](const OutstandingGrant &grant) {
            return grant.number == number && grant.host == host;
        });
    return found == m_grants.end() ? nullptr : &*found;
}

Error TeamLimit::refusal(const TeamName &team, Instant now)
{
    const Error error =
        Error(ErrorKind::RateLimited, "team \"" + team.value() + "\" has reached its rate limit")
            .withNotRun();
    std::optional<Instant> next = m_bucket.nextAvailable(now);
    if (!m_grants.empty() && (!next || m_grants.front().expires < *next)) {
        next = m_grants.front().expires;
    }
    return next ? error.withRetryAfter(std::max(*next - now, Duration(1))) : error;
}

} // namespace basilhall::limit
