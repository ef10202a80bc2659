// Estimates which shard owners are dead, so that their shards may be taken over.
//
//     DeadOwners dead(host, incarnation);
//     dead.setHosts(hosts);
//     if (dead.isDead(owner, now)) { ... }
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/membership/entry_host.h"
#include "basilhall/ownership/shard_owner.h"

#include <map>
#include <optional>
#include <vector>

namespace basilhall::ownership
{

// Not thread-safe. Safety does not depend on the result, because a takeover seals the owner's
// journal first.
class DeadOwners
{
public:
    // Time for which the incarnation of an owner must differ from the current incarnation of its
    // host before the owner counts as a dead predecessor. Longer than a probe takes to report a
    // restart.
    static constexpr Duration kRestartGrace = std::chrono::seconds(3);

    // `host` and `incarnation` identify this process.
    DeadOwners(HostName host, Incarnation incarnation);

    void setHosts(std::vector<membership::EntryHost> hosts);

    // True if the host of `owner` is in state Dead, or `owner` is an earlier incarnation of its
    // host. An owner on an unknown host does not count as dead; see HostView::onMentioned().
    bool isDead(const ShardOwner &owner, Instant now);
    // True if `host` is in state Live in the hosts last set.
    bool isLive(const HostName &host) const;
    // Returns the earliest time at which isDead() may become true for an owner because
    // kRestartGrace has passed, among the calls since clearRecheck().
    std::optional<Instant> recheckAt() const { return m_recheckAt; }
    void clearRecheck() { m_recheckAt.reset(); }

private:
    bool isSuperseded(const ShardOwner &owner, Instant now);

    HostName m_self;
    Incarnation m_incarnation;
    std::map<HostName, membership::EntryHost> m_hosts;
    // Time at which an owner's incarnation was first seen to differ from its host's current one.
    std::map<Incarnation, Instant> m_supersededSince;
    std::optional<Instant> m_recheckAt;
};

} // namespace basilhall::ownership
