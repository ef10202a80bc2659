#include "basilhall/placement/named_limits.h"

namespace basilhall::placement
{

namespace
{

// True if both starts are known and `startedAt` is the later one.
bool isLaterProcess(WallMillis startedAt, WallMillis other)
{
    return startedAt != 0 && other != 0 && startedAt > other;
}

} // namespace

bool NamedLimits::add(const EndpointName &name, const NamedLimit &stated)
{
    const auto found = m_limits.find(name);
    if (found == m_limits.end()) {
        if (stated.perSecond) {
            m_limits.emplace(name, stated);
        }
        return stated.perSecond.has_value();
    }
    NamedLimit &known = found->second;
    if (isLaterProcess(known.startedAt, stated.startedAt)) {
        return false;
    }
    if (!isLaterProcess(stated.startedAt, known.startedAt) && stated.statedAt < known.statedAt) {
        return false;
    }
    const bool isChanged = known.perSecond != stated.perSecond;
    known = stated;
    return isChanged;
}

std::optional<double> NamedLimits::find(const fleet::Endpoint &endpoint) const
{
    const auto found = m_limits.find(endpoint.name);
    if (found == m_limits.end() || isLaterProcess(endpoint.startedAt, found->second.startedAt)) {
        return std::nullopt;
    }
    return found->second.perSecond;
}

void NamedLimits::expire(Instant now)
{
    std::erase_if(m_limits,
                  [now](const auto &entry) { return now - entry.second.statedAt >= kRetention; });
}

} // namespace basilhall::placement
