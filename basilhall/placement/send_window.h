// What this gateway, and as far as it knows the others, sent in the last second to one endpoint
// that may be cold: decides whether one more request is within the limit on cold endpoints.
//
//     SendWindow window;
//     window.setLimit({23, 39.5, 1, 24}, hashOfGateway);
//     if (window.admits(isCold, now)) {
//         window.onSent(isCold, false, now);
//     }
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace basilhall::placement
{

// Requests in any window of one second. Immutable value.
struct ColdLimit {
    // What the shares of all gateways add up to.
    std::size_t planned = 1;
    // What the endpoint tolerates.
    double bound = 1;
    // What this gateway may send without knowing what others send.
    std::size_t share = 1;
    std::size_t gateways = 1;

    auto operator<=>(const ColdLimit &) const = default;
};

// Requests that were sent, and how many of them were beyond the share of their gateway.
struct SendCounts {
    std::uint32_t sends = 0;
    std::uint32_t extra = 0;

    auto operator<=>(const SendCounts &) const = default;
};

// Not thread-safe. A gateway that sends to an endpoint that is cold keeps to its share. While the
// endpoint is warm it may exceed its share, but since an endpoint can turn cold without notice, it
// does so only while all requests of the last second are below three quarters of the bound, and
// those beyond shares leave room for all shares.
class SendWindow
{
public:
    // `seed` differs between gateways, so that not all of them exceed their shares at once.
    void setLimit(const ColdLimit &limit, std::uint64_t seed);
    const ColdLimit &limit() const { return m_limit; }

    bool admits(bool isCold, Instant now) const;
    // Returns the time until admits(), as far as it is known. If the endpoint is cold and other
    // gateways hold its limit, this is the time in which each of them can lend a request.
    Duration wait(bool isCold, Instant now) const;
    // A borrowed request does not count against the share.
    void onSent(bool isCold, bool isBorrowed, Instant now);
    // Lets another gateway send one request instead. Returns false if the share is used up.
    bool lend(Instant now);
    void onPeerSends(const SendCounts &counts, Instant now);
    // What this gateway sent since the last call.
    SendCounts takeSends();

private:
    struct OwnSend {
        Instant at;
        bool isExtra = false;
        bool isBorrowed = false;
    };
    struct PeerSends {
        Instant at;
        SendCounts counts;
    };

    void drop(Instant now);
    // Requests of the last second that use up the share.
    std::size_t used(bool isCold, Instant now) const;
    bool admitsExtra(Instant now) const;

    ColdLimit m_limit;
    std::uint64_t m_seed = 0;
    std::deque<OwnSend> m_own;
    // Each with the last time at which the request may reach the endpoint.
    std::deque<Instant> m_lent;
    std::deque<PeerSends> m_peers;
    SendCounts m_unreported;
};

} // namespace basilhall::placement
