// Grants requests for all slices of team limits that this host holds.
//
//     Limiter limiter(times);
//     limiter.onLeaseRenewed(sentAt);                    // the renewal succeeded
//     limiter.adoptFresh({team, 0}, rate, now);          // no limiter granted for it before
//     Result<Grant> grant = limiter.acquire(host, ask, now);
//
// The limiter grants only within its lease. A host that takes over a slice starts with an empty
// bucket, `LimitTimes::successorWait` after it last saw the previous holder's lease change, so that
// grants of the two holders are never usable at the same time. The renewal must be a write that
// fails after a takeover, such as an append to the journal that the successor seals. A paused
// holder that resumes then cannot renew its lease.
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/limit/grant_request.h"
#include "basilhall/limit/limit_times.h"
#include "basilhall/limit/slice_key.h"
#include "basilhall/limit/team_limit.h"

#include <unordered_map>

namespace basilhall::limit
{

// How long the holder of a slice may grant, and therefore when another host may take it over.
enum class Tenure {
    // Grants within the lease. Can be taken over `successorWait` after the last seen lease change.
    Lease,
    // Grants as long as the process lives, even during an outage of the object API. Can be taken
    // over `hostListedWait` after the holder's host left the host list. This guarantees the team a
    // minimum rate, but the team loses this part of its rate until the host of a dead holder leaves
    // the list.
    HostListed,
};

// Not thread-safe. Memory grows with the number of slices held.
class Limiter
{
public:
    explicit Limiter(const LimitTimes &times);

    // The lease of this incarnation was renewed by a write that was sent at `sentAt`.
    void onLeaseRenewed(Instant sentAt);

    // Adopts a slice that no limiter can have granted for. Its bucket starts full.
    void adoptFresh(const SliceKey &slice, const Rate &rate, Instant now,
                    Tenure tenure = Tenure::Lease);
    // Adopts a slice that another incarnation held. Its bucket starts empty at `from`, which must
    // be as late as the `tenure` of the previous holder requires.
    void adoptAfter(const SliceKey &slice, const Rate &rate, Instant from,
                    Tenure tenure = Tenure::Lease);
    // Adopts a slice that its previous holder handed over with `requests` left to grant. No grant
    // of that holder is usable from `from` on.
    void adoptReleased(const SliceKey &slice, const Rate &rate, std::uint32_t requests,
                       Instant from);
    // Returns the requests that the slice has left to grant, for its next holder; 0 if the slice is
    // not held, or outside the lease.
    std::uint32_t remaining(const SliceKey &slice, Instant now);
    // Applies the rate of a newer manifest. Ignored if the slice is not held.
    void setRate(const SliceKey &slice, const Rate &rate, Instant now);
    // Releases the slice. Outstanding grants stay usable until they expire.
    void drop(const SliceKey &slice);

    // Fails with RateLimited and a retry time, with NotOwner if the slice is not held here, or with
    // Unavailable outside the lease and before a successor may grant.
    Result<Grant> acquire(const Incarnation &host, const GrantRequest &ask, Instant now);

    bool holds(const SliceKey &slice) const;
    std::size_t sliceCount() const { return m_slices.size(); }
    // The limiter may grant before this instant.
    Instant leaseEnd() const { return m_leaseEnd; }

private:
    struct Slice {
        // The earliest instant of a grant.
        Instant from;
        Tenure tenure;
        TeamLimit limit;
    };

    LimitTimes m_times;
    Instant m_leaseEnd;
    std::unordered_map<SliceKey, Slice, SliceKeyHash> m_slices;
};

} // namespace basilhall::limit
