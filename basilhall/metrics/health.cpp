#include "basilhall/metrics/health.h"

#include <stdexcept>

namespace basilhall::metrics
{

Health::Health(const std::vector<std::string> &conditions)
{
    for (const std::string &condition : conditions) {
        m_conditions.emplace(condition, false);
    }
}

void Health::setReady(std::string_view condition, bool isReady)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_conditions.find(condition);
    if (found == m_conditions.end()) {
        throw std::out_of_range("condition \"" + std::string(condition) + "\" does not exist");
    }
    found->second = isReady;
}

void Health::beginDraining()
{
    const std::lock_guard lock(m_mutex);
    m_isDraining = true;
}

bool Health::isDraining() const
{
    const std::lock_guard lock(m_mutex);
    return m_isDraining;
}

void Health::beat(Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_lastBeat = now;
}

bool Health::isReady() const
{
    return missing().empty();
}

std::vector<std::string> Health::missing() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (const auto &[name, holds] : m_conditions) {
        if (!holds) {
            names.push_back(name);
        }
    }
    if (m_isDraining) {
        names.emplace_back("draining");
    }
    return names;
}

bool Health::isLive(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    return m_lastBeat != Instant::min() && now - m_lastBeat <= kLongestSilence;
}

} // namespace basilhall::metrics
