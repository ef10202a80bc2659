// The limit of one team, or of one of its slices, at the limiter: a bucket and the outstanding
// grants.
//
//     TeamLimit limit(Bucket(rate, now), times);
//     Result<Grant> grant = limit.acquire(host, ask, now);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/limit/bucket.h"
#include "basilhall/limit/grant_request.h"
#include "basilhall/limit/limit_times.h"

#include <vector>

namespace basilhall::limit
{

// Not thread-safe. Stores the grants of the last `validity + maxSendDelay`, at most
// kMaxOutstandingGrants.
class TeamLimit
{
public:
    static constexpr std::size_t kMaxOutstandingGrants = 4096;

    TeamLimit(Bucket bucket, const LimitTimes &times);

    // Grants up to `ask.requests` requests, or fails with RateLimited and a retry time.
    Result<Grant> acquire(const Incarnation &host, const GrantRequest &ask, Instant now);
    void setRate(const Rate &rate, Instant now);

    const Rate &rate() const { return m_bucket.rate(); }
    std::uint32_t outstanding() const { return m_bucket.outstanding(); }
    // Number of whole requests that could be granted now.
    std::uint32_t available(Instant now) { return m_bucket.available(now); }

private:
    struct OutstandingGrant {
        Instant expires;
        Incarnation host;
        std::uint64_t number;
        std::uint32_t requests;
        Duration validity;
    };

    static bool expiresLater(const OutstandingGrant &a, const OutstandingGrant &b);
    void expire(Instant now);
    void settle(const Incarnation &host, std::uint64_t settled, Instant now);
    const OutstandingGrant *find(const Incarnation &host, std::uint64_t number) const;
    Error refusal(const TeamName &team, Instant now);

    Bucket m_bucket;
    LimitTimes m_times;
    // A heap with the earliest expiry at the front.
    std::vector<OutstandingGrant> m_grants;
};

} // namespace basilhall::limit
