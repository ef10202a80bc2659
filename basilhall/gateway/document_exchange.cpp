#include "basilhall/gateway/document_exchange.h"

#include <utility>

namespace basilhall::gateway
{

namespace
{

constexpr DocumentKind kKinds[] = {DocumentKind::Evacuations, DocumentKind::Policy,
                                   DocumentKind::Endpoints, DocumentKind::Members};
// Time for which a gateway waits for a peer of its failure domain before it fetches a newer
// version from another one. A change has to be known within 2 s.
constexpr Duration kRemoteDelay = std::chrono::milliseconds(400);
// A watch delivers changes within 300 ms; after this time it has missed one.
constexpr Duration kWatchDelay = std::chrono::milliseconds(1000);
constexpr Duration kFailedPeerPause = std::chrono::seconds(1);

} // namespace

DocumentExchange::DocumentExchange(FailureDomain domain)
    : m_domain(std::move(domain))
{
}

std::uint64_t DocumentExchange::localVersion(DocumentKind kind) const
{
    const auto found = m_local.find(kind);
    return found == m_local.end() ? 0 : found->second;
}

bool DocumentExchange::isNewer(DocumentKind kind, std::uint64_t version) const
{
    return version > localVersion(kind);
}

void DocumentExchange::setLocal(DocumentKind kind, std::uint64_t version)
{
    if (!isNewer(kind, version)) {
        return;
    }
    m_local[kind] = version;
    std::erase_if(m_newer[kind], [&](const auto &entry) {
        return m_peers.at(entry.first).versions.at(kind) <= version;
    });
}

void DocumentExchange::onPeerVersions(const HostName &peer, const FailureDomain &domain,
                                      const DocumentVersions &versions, Instant now)
{
    Peer &entry = m_peers[peer];
    entry.domain = domain;
    entry.versions = versions;
    for (auto &[kind, newer] : m_newer) {
        if (!versions.contains(kind)) {
            newer.erase(peer);
        }
    }
    for (const auto &[kind, version] : versions) {
        if (isNewer(kind, version)) {
            m_newer[kind].try_emplace(peer, now);
        } else {
            m_newer[kind].erase(peer);
        }
    }
}

void DocumentExchange::onPeerLost(const HostName &peer)
{
    m_peers.erase(peer);
    for (auto &[kind, newer] : m_newer) {
        newer.erase(peer);
    }
}

std::uint64_t DocumentExchange::peerVersion(const HostName &peer, DocumentKind kind) const
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end()) {
        return 0;
    }
    const auto version = found->second.versions.find(kind);
    return version == found->second.versions.end() ? 0 : version->second;
}

bool DocumentExchange::isBehind(DocumentKind kind) const
{
    const auto newer = m_newer.find(kind);
    return newer != m_newer.end() && !newer->second.empty();
}

Duration DocumentExchange::delay(DocumentKind kind, const Peer &peer, bool isWatching) const
{
    if (localVersion(kind) == 0) {
        return Duration::zero();
    }
    if (isWatching && kind != DocumentKind::Policy) {
        return kWatchDelay;
    }
    return peer.domain == m_domain ? Duration::zero() : kRemoteDelay;
}

std::optional<HostName> DocumentExchange::choosePeer(DocumentKind kind, bool isWatching,
                                                     std::uint64_t random, Instant now) const
{
    const auto newer = m_newer.find(kind);
    if (newer == m_newer.end() || newer->second.empty()) {
        return std::nullopt;
    }
    std::vector<HostName> local;
    std::vector<HostName> remote;
    for (const auto &[host, since] : newer->second) {
        const Peer &peer = m_peers.at(host);
        if (now >= peer.avoidedUntil && now - since >= delay(kind, peer, isWatching)) {
            (peer.domain == m_domain ? local : remote).push_back(host);
        }
    }
    const std::vector<HostName> &candidates = local.empty() ? remote : local;
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[random % candidates.size()];
}

std::vector<DocumentExchange::Fetch> DocumentExchange::dueFetches(bool isWatching,
                                                                  std::uint64_t random, Instant now)
{
    std::vector<Fetch> fetches;
    for (const DocumentKind kind : kKinds) {
        if (m_fetching.contains(kind)) {
            continue;
        }
        if (auto peer = choosePeer(kind, isWatching, random, now)) {
            m_fetching.insert(kind);
            fetches.push_back({kind, std::move(*peer)});
        }
    }
    return fetches;
}

void DocumentExchange::onFetched(const Fetch &fetch, bool isSuccessful, Instant now)
{
    m_fetching.erase(fetch.kind);
    const auto found = m_peers.find(fetch.peer);
    if (found != m_peers.end() && !isSuccessful) {
        found->second.avoidedUntil = now + kFailedPeerPause;
    }
}

} // namespace basilhall::gateway
