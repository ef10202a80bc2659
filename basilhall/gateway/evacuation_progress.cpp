#include "basilhall/gateway/evacuation_progress.h"

#include <algorithm>

namespace basilhall::gateway
{

void EvacuationProgress::onChanged(const fleet::EvacuationView::Change &change,
                                   std::uint64_t revision, Instant now)
{
    for (const FailureDomain &domain : change.begun) {
        m_entries[domain] = {revision, now, false, false, false};
    }
    for (const FailureDomain &domain : change.ended) {
        m_entries[domain] = {revision, now, true, false, true};
    }
}

std::vector<EvacuationProgress::Event>
EvacuationProgress::check(const Fleet &fleet,
                          const std::function<bool(std::uint64_t)> &isKnownToAll, Instant now)
{
    std::vector<Event> events;
    for (auto &[domain, entry] : m_entries) {
        const Duration after = now - entry.since;
        const bool isUsed = fleet.ofHosts.contains(domain) || fleet.ofEndpoints.contains(domain);
        if (!entry.isDomainChecked && (isUsed || after >= kUnknownDomainDelay)) {
            entry.isDomainChecked = true;
            if (!isUsed) {
                events.push_back({EventKind::UnknownDomain, domain, entry.revision, after});
            }
        }
        if (!entry.isEverywhere && isKnownToAll(entry.revision)) {
            entry.isEverywhere = true;
            events.push_back(
                {entry.isEnded ? EventKind::EndedEverywhere : EventKind::InEffectEverywhere, domain,
                 entry.revision, after});
        }
    }
    std::erase_if(m_entries,
                  [](const auto &item) { return item.second.isEnded && item.second.isEverywhere; });
    const bool isAll = !fleet.ofEndpoints.empty()
        && std::all_of(fleet.ofEndpoints.begin(), fleet.ofEndpoints.end(),
                       [this](const FailureDomain &domain) {
                           const auto found = m_entries.find(domain);
                           return found != m_entries.end() && !found->second.isEnded;
                       });
    if (isAll != m_isAll) {
        m_isAll = isAll;
        events.push_back(
            {isAll ? EventKind::AllDomains : EventKind::NotAllDomains, FailureDomain(), 0, {}});
    }
    return events;
}

std::size_t EvacuationProgress::pendingCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto &item) {
            return !item.second.isEnded && !item.second.isEverywhere;
        }));
}

} // namespace basilhall::gateway
