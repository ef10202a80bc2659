#include "basilhall/gateway/internal/home_candidacy.h"

#include <algorithm>

namespace basilhall::gateway
{

void HomeCandidacy::setEligible(bool isEligible)
{
    if (isEligible != isCandidate(m_number)) {
        ++m_number;
        for (auto &[holder, entry] : m_holders) {
            entry = {};
        }
    }
}

void HomeCandidacy::setHolders(const std::set<Incarnation> &holders)
{
    std::erase_if(m_holders, [&](const auto &entry) { return !holders.contains(entry.first); });
    for (const Incarnation &holder : holders) {
        m_holders.try_emplace(holder);
    }
}

std::vector<HomeCandidacy::Announcement> HomeCandidacy::takeDue()
{
    std::vector<Announcement> due;
    if (!isCandidate(m_number)) {
        return due;
    }
    for (auto &[holder, entry] : m_holders) {
        if (entry.attempt == 0 && !entry.isAcknowledged) {
            entry.attempt = ++m_attempts;
            due.push_back({holder, m_number, entry.attempt});
        }
    }
    return due;
}

void HomeCandidacy::onAcknowledged(const Announcement &announcement)
{
    const auto found = m_holders.find(announcement.holder);
    if (found != m_holders.end() && found->second.attempt == announcement.attempt) {
        found->second = {0, true};
    }
}

void HomeCandidacy::onFailed(const Announcement &announcement)
{
    const auto found = m_holders.find(announcement.holder);
    if (found != m_holders.end() && found->second.attempt == announcement.attempt) {
        found->second = {};
    }
}

bool HomeCandidacy::isConfirmed() const
{
    return isCandidate(m_number)
        && std::all_of(m_holders.begin(), m_holders.end(),
                       [](const auto &entry) { return entry.second.isAcknowledged; });
}

} // namespace basilhall::gateway
