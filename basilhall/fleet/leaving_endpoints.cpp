#include "basilhall/fleet/leaving_endpoints.h"

namespace basilhall::fleet
{

bool LeavingEndpoints::add(const EndpointName &name, WallMillis startedAt, Instant now)
{
    const auto [at, isNew] = m_announcements.try_emplace(name, Announcement{startedAt, now});
    if (isNew) {
        return true;
    }
    Announcement &announcement = at->second;
    announcement.lastSeen = now;
    if (isCovered(announcement, startedAt)) {
        // An unknown start may be later than the recorded one.
        announcement.startedAt = startedAt == 0 ? 0 : announcement.startedAt;
        return false;
    }
    announcement.startedAt = startedAt;
    return true;
}

bool LeavingEndpoints::contains(const Endpoint &endpoint) const
{
    const auto found = m_announcements.find(endpoint.name);
    return found != m_announcements.end() && isCovered(found->second, endpoint.startedAt);
}

void LeavingEndpoints::expire(const std::unordered_map<EndpointName, Endpoint> &registered,
                              Instant now)
{
    for (auto &[name, announcement] : m_announcements) {
        if (registered.contains(name)) {
            announcement.lastSeen = now;
        }
    }
    std::erase_if(m_announcements,
                  [now](const auto &entry) { return now - entry.second.lastSeen >= kRetention; });
}

bool LeavingEndpoints::isCovered(const Announcement &announcement, WallMillis startedAt)
{
    return startedAt == 0 || announcement.startedAt == 0 || startedAt <= announcement.startedAt;
}

} // namespace basilhall::fleet
