// Decides which documents a gateway fetches, and from which peer.
//
// Few gateways of each failure domain watch the object API; the others fetch what changed from a
// peer that states a newer version. A peer in the same failure domain is asked at once, others
// only after a while, because bytes between failure domains are billed and the watching gateways
// of the domain usually have the version soon.
//
//     DocumentExchange exchange(domain);
//     exchange.setLocal(DocumentKind::Endpoints, 17);
//     exchange.onPeerVersions(peer, peerDomain, versions, now);
//     for (const auto &fetch : exchange.dueFetches(isWatching, random, now)) { ... }
//     exchange.onFetched(fetch, isSuccessful, now);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/gateway/document.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace basilhall::gateway
{

// Not thread-safe.
class DocumentExchange
{
public:
    struct Fetch {
        DocumentKind kind = DocumentKind::Policy;
        HostName peer;

        auto operator<=>(const Fetch &) const = default;
    };

    // `domain` is the failure domain of this gateway.
    explicit DocumentExchange(FailureDomain domain);

    // This gateway has the version; lower versions than before are ignored.
    void setLocal(DocumentKind kind, std::uint64_t version);
    const DocumentVersions &local() const { return m_local; }
    // True if a fetched version is to be applied. A newer one may have arrived during the fetch.
    bool isNewer(DocumentKind kind, std::uint64_t version) const;
    void onPeerVersions(const HostName &peer, const FailureDomain &domain,
                        const DocumentVersions &versions, Instant now);
    void onPeerLost(const HostName &peer);
    // The version that the peer stated last; 0 if there is none.
    std::uint64_t peerVersion(const HostName &peer, DocumentKind kind) const;
    // True if a peer states a newer version than that of this gateway.
    bool isBehind(DocumentKind kind) const;

    // Returns the fetches to begin now, at most one for each kind that is not being fetched.
    // `isWatching` if this gateway receives registrations from the object API itself; it then
    // fetches them only if its watch has missed a change for long. `random` spreads the fetches of
    // many gateways over the peers.
    std::vector<Fetch> dueFetches(bool isWatching, std::uint64_t random, Instant now);
    // A fetch has ended. A peer that did not answer is not asked again for a while.
    void onFetched(const Fetch &fetch, bool isSuccessful, Instant now);

private:
    struct Peer {
        FailureDomain domain;
        DocumentVersions versions;
        Instant avoidedUntil = Instant::min();
    };

    std::uint64_t localVersion(DocumentKind kind) const;
    Duration delay(DocumentKind kind, const Peer &peer, bool isWatching) const;
    std::optional<HostName> choosePeer(DocumentKind kind, bool isWatching, std::uint64_t random,
                                       Instant now) const;

    FailureDomain m_domain;
    DocumentVersions m_local;
    std::map<HostName, Peer> m_peers;
    // The peers whose version is newer than that of this gateway, and since when. Mostly empty, so
    // that dueFetches() costs the same however many peers there are.
    std::map<DocumentKind, std::map<HostName, Instant>> m_newer;
    std::set<DocumentKind> m_fetching;
};

} // namespace basilhall::gateway
