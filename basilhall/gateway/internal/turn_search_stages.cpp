#include "basilhall/gateway/internal/turn_search_stages.h"

namespace basilhall::gateway
{

namespace
{

// Time for a holder to answer from memory or to read one chain from the object API.
constexpr Duration kNearHolderPatience = std::chrono::milliseconds(60);
constexpr Duration kHolderPatience = std::chrono::milliseconds(150);
// Peers that are no holders answer from memory. Limits the messages that a search has in flight.
constexpr std::size_t kGroupSize = 32;
constexpr Duration kGroupPatience = std::chrono::milliseconds(20);

} // namespace

std::vector<SearchStage> searchStages(const std::vector<SearchedPeer> &peers, SearchScope scope)
{
    SearchStage near{{}, kNearHolderPatience};
    SearchStage holders{{}, kHolderPatience};
    std::vector<SearchStage> groups;
    for (const SearchedPeer &peer : peers) {
        if (peer.isHolder) {
            (peer.isInSameDomain ? near : holders).peers.push_back(peer.incarnation);
        } else if (scope == SearchScope::AllPeers) {
            if (groups.empty() || groups.back().peers.size() == kGroupSize) {
                groups.push_back({{}, kGroupPatience});
            }
            groups.back().peers.push_back(peer.incarnation);
        }
    }
    std::vector<SearchStage> stages;
    for (SearchStage *stage : {&near, &holders}) {
        if (!stage->peers.empty()) {
            stages.push_back(std::move(*stage));
        }
    }
    stages.insert(stages.end(), std::make_move_iterator(groups.begin()),
                  std::make_move_iterator(groups.end()));
    return stages;
}

} // namespace basilhall::gateway
