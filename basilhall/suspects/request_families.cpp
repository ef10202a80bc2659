#include "basilhall/suspects/request_families.h"

#include <algorithm>

namespace basilhall::suspects
{

RequestFamilies::Family &RequestFamilies::family(RequestKey key, Instant now)
{
    if (!m_families.contains(key) && m_families.size() >= kMaxFamilies) {
        forget(std::min_element(
            m_families.begin(), m_families.end(),
            [](const auto &a, const auto &b) { return a.second.changedAt < b.second.changedAt; }));
    }
    Family &found = m_families[key];
    found.changedAt = now;
    return found;
}

void RequestFamilies::forget(std::unordered_map<RequestKey, Family>::iterator at)
{
    for (const RequestKey &body : at->second.bodies) {
        m_familyByBody.erase(body);
    }
    m_families.erase(at);
}

void RequestFamilies::onBroken(RequestKey key, RequestKey body, Instant now)
{
    Family &broken = family(key, now);
    if (broken.bodies.size() < kMaxBodies && broken.bodies.insert(body).second) {
        m_familyByBody.insert_or_assign(body, key);
    }
}

void RequestFamilies::onCompleted(RequestKey key, Instant now)
{
    family(key, now).completedAt = now;
}

bool RequestFamilies::isSuspicious(RequestKey key, Instant now) const
{
    const auto found = m_families.find(key);
    if (found == m_families.end()) {
        return false;
    }
    const Family &family = found->second;
    const bool isSound = family.completedAt && now - *family.completedAt < kSoundTime;
    return !isSound && family.bodies.size() >= kMinBodies;
}

std::optional<RequestKey> RequestFamilies::familyOf(RequestKey body) const
{
    const auto found = m_familyByBody.find(body);
    return found == m_familyByBody.end() ? std::nullopt : std::optional(found->second);
}

void RequestFamilies::expire(Instant now)
{
    for (auto at = m_families.begin(); at != m_families.end();) {
        const auto next = std::next(at);
        if (now - at->second.changedAt >= kRetention) {
            forget(at);
        }
        at = next;
    }
}

} // namespace basilhall::suspects
