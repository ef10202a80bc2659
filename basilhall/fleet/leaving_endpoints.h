// Endpoints that announced in an answer that they leave. An announcement applies to one process,
// identified by its name and start, and overrides what registrations state about that process.
//
//     LeavingEndpoints leaving;
//     const bool isFirst = leaving.add(endpoint.name, endpoint.startedAt, now);
//     const bool isExcluded = leaving.contains(registered);
//     leaving.expire(directory.endpoints(), now);
#pragma once

#include "basilhall/fleet/endpoint.h"

#include <unordered_map>

namespace basilhall::fleet
{

// Not thread-safe.
class LeavingEndpoints
{
public:
    // Records an announcement of the process that started at `startedAt`, 0 if unknown. Returns
    // false if contains() was already true for this process.
    bool add(const EndpointName &name, WallMillis startedAt, Instant now);
    // True unless the endpoint is known to have started after the process that leaves. If either
    // start is unknown, it counts as the same process.
    bool contains(const Endpoint &endpoint) const;
    // Drops the announcements of endpoints that have not been in `registered` for kRetention.
    void expire(const std::unordered_map<EndpointName, Endpoint> &registered, Instant now);
    std::size_t size() const { return m_announcements.size(); }

    // A registration can return while its process still runs, which a leaving process does for
    // seconds, at most minutes.
    static constexpr Duration kRetention = std::chrono::minutes(10);

private:
    struct Announcement {
        WallMillis startedAt = 0;
        // Last time at which the endpoint was known to be registered, or announced again.
        Instant lastSeen;
    };

    // True if a process that started at `startedAt` may be the one that leaves.
    static bool isCovered(const Announcement &announcement, WallMillis startedAt);

    std::unordered_map<EndpointName, Announcement> m_announcements;
};

} // namespace basilhall::fleet
