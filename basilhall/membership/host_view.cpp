#include "basilhall/membership/host_view.h"

#include <algorithm>
#include <utility>

namespace basilhall::membership
{

namespace
{

void addIfAbsent(std::vector<EntryHost> &targets, EntryHost target)
{
    if (std::find(targets.begin(), targets.end(), target) == targets.end()) {
        targets.push_back(std::move(target));
    }
}

} // namespace

HostView::HostView(HostName self)
    : m_self(std::move(self))
{
}

void HostView::onListed(const std::vector<ListedHost> &listed, Instant now)
{
    for (auto &[host, entry] : m_entries) {
        entry.listed = false;
    }
    for (const ListedHost &listedHost : listed) {
        if (listedHost.host == m_self) {
            continue;
        }
        const auto [it, added] = m_entries.try_emplace(listedHost.host);
        Entry &entry = it->second;
        entry.listed = true;
        entry.listedLeaving = listedHost.leaving;
        if (added || entry.address != listedHost.address) {
            entry.address = listedHost.address;
            entry.lastSeen = now;
        }
    }
    removeExpired(now);
}

void HostView::onMentioned(const HostName &host, const Address &address, Instant now)
{
    if (host == m_self) {
        return;
    }
    const auto [it, added] = m_entries.try_emplace(host);
    if (added) {
        it->second.address = address;
        it->second.lastSeen = now;
    }
}

void HostView::watch(const std::vector<HostName> &hosts)
{
    m_watched.assign(hosts.begin(),
                     hosts.begin()
                         + static_cast<std::ptrdiff_t>(std::min(hosts.size(), kMaxWatched)));
}

void HostView::onProbeAnswered(const HostName &host, const Incarnation &incarnation, bool leaving,
                               Instant now)
{
    const auto found = m_entries.find(host);
    if (found == m_entries.end()) {
        return;
    }
    Entry &entry = found->second;
    entry.incarnation = incarnation;
    entry.reportsLeaving = leaving;
    entry.failures = 0;
    entry.lastSeen = now;
}

void HostView::onProbeFailed(const HostName &host, Instant /*now*/)
{
    const auto found = m_entries.find(host);
    if (found != m_entries.end()) {
        found->second.failures = std::min(found->second.failures + 1, kDeadAfterFailures);
    }
}

HostState HostView::stateOf(const Entry &entry)
{
    if (entry.failures >= kDeadAfterFailures) {
        return HostState::Dead;
    }
    if (entry.listedLeaving || entry.reportsLeaving) {
        return HostState::Leaving;
    }
    return entry.failures >= kSuspectAfterFailures ? HostState::Suspect : HostState::Live;
}

EntryHost HostView::toEntryHost(const HostName &host, const Entry &entry)
{
    return {host, entry.incarnation, entry.address, stateOf(entry)};
}

void HostView::removeExpired(Instant now)
{
    std::erase_if(m_entries, [now](const auto &item) {
        const Entry &entry = item.second;
        return !entry.listed && entry.failures >= kDeadAfterFailures
            && now > entry.lastSeen + kForgetAfter;
    });
}

std::vector<EntryHost> HostView::probesDue(Instant now, std::uint64_t random)
{
    if (now < m_nextRound) {
        return {};
    }
    m_nextRound = now + kProbeInterval;
    std::vector<EntryHost> targets;
    addWatched(targets);
    addUnconfirmed(targets, random);
    addRandom(targets, random);
    return targets;
}

void HostView::addWatched(std::vector<EntryHost> &targets) const
{
    for (const HostName &host : m_watched) {
        const auto found = m_entries.find(host);
        if (found != m_entries.end()) {
            addIfAbsent(targets, toEntryHost(host, found->second));
        }
    }
}

// Adds hosts whose last probe failed but that are not dead yet, and hosts that were never probed.
void HostView::addUnconfirmed(std::vector<EntryHost> &targets, std::uint64_t random) const
{
    std::vector<EntryHost> unconfirmed;
    for (const auto &[host, entry] : m_entries) {
        const bool failing = entry.failures > 0 && entry.failures < kDeadAfterFailures;
        if (failing || (entry.incarnation.isEmpty() && entry.failures == 0)) {
            unconfirmed.push_back(toEntryHost(host, entry));
        }
    }
    const std::size_t count = std::min(unconfirmed.size(), kUnconfirmedPerRound);
    for (std::size_t i = 0; i < count; ++i) {
        addIfAbsent(targets, unconfirmed[(random + i) % unconfirmed.size()]);
    }
}

void HostView::addRandom(std::vector<EntryHost> &targets, std::uint64_t random) const
{
    if (m_entries.empty()) {
        return;
    }
    const std::size_t count = std::min(kProbesPerRound, m_entries.size());
    const std::size_t stride = std::max<std::size_t>(1, m_entries.size() / count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto it =
            std::next(m_entries.begin(),
                      static_cast<std::ptrdiff_t>((random + i * stride) % m_entries.size()));
        addIfAbsent(targets, toEntryHost(it->first, it->second));
    }
}

std::vector<EntryHost> HostView::hosts() const
{
    std::vector<EntryHost> all;
    for (const auto &[host, entry] : m_entries) {
        all.push_back(toEntryHost(host, entry));
    }
    return all;
}

std::optional<HostState> HostView::stateOf(const HostName &host) const
{
    const auto found = m_entries.find(host);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return stateOf(found->second);
}

} // namespace basilhall::membership
