// Decides in which order the peers are searched for a turn.
//
//     for (const SearchStage &stage : searchStages(peers, SearchScope::AllPeers)) { ... }
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/gateway/turn_keeper.h"

#include <vector>

namespace basilhall::gateway
{

struct SearchedPeer {
    Incarnation incarnation;
    bool isHolder = false;
    bool isInSameDomain = false;
};

// Peers that are asked at once.
struct SearchStage {
    std::vector<Incarnation> peers;
    // Time after which the next stage begins although peers of this one have not answered.
    Duration patience = Duration::zero();
};

// Returns the holder of the own failure domain, then the other holders, then, for
// SearchScope::AllPeers, the other peers in groups of limited size.
std::vector<SearchStage> searchStages(const std::vector<SearchedPeer> &peers, SearchScope scope);

} // namespace basilhall::gateway
