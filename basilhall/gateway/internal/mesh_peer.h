// What the mesh knows of one peer.
//
//     const auto peer = std::make_shared<Peer>();
//     peer->member = member;
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/gateway/internal/home_candidacy.h"
#include "basilhall/gateway/member.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>

namespace basilhall::gateway
{

// A registered gateway and what is known of its journal and ledger.
struct Peer {
    Member member;
    Instant lastUpdateAt = Instant::min();
    Instant listedAt = Instant::min();
    bool isConnected = false;
    // The peer sends its turns to this gateway.
    bool sendsTurns = false;
    // A "/want" request to the peer is in progress.
    bool isWantPending = false;
    // Last durable batch of its journal, as stated in its updates.
    std::uint64_t durableBatch = 0;
    // The peer knows the spending before its start.
    bool knowsLedger = false;
    // Highest number that it stated; see HomeCandidacy. 0 while it is not connected, and for
    // earlier versions.
    std::uint64_t candidacy = 0;
    // The peer receives all changes from the object API.
    bool watchesStore = false;
    // The object API fails at the peer, or did so a moment ago.
    bool seesOutage = false;
    // Time of its last failure to make records of this gateway durable.
    std::optional<Instant> refusedRecordsAt;
    // Until when it is not asked to write, because it stated that too many records wait.
    Instant busyUntil = Instant::min();
    // Its last batches, each with the time of the update that stated it.
    std::deque<std::pair<Instant, std::uint64_t>> batches;
    bool isDropped = false;
    // The peer has stated that it ended and all its records are durable.
    bool hasEnded = false;

    // True if the peer may be chosen as the home of programs.
    bool mayBeHome() const
    {
        return isConnected && !hasEnded
            && (candidacy == 0 ? knowsLedger : HomeCandidacy::isCandidate(candidacy));
    }
};

} // namespace basilhall::gateway
