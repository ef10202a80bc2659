#include "basilhall/ownership/obsolete_objects.h"

#include "basilhall/journal/checkpoint_codec.h"

#include <algorithm>

namespace basilhall::ownership
{

using journal::BatchNumber;

namespace
{

bool covers(const JournalRange &range, const std::string &incarnation, BatchNumber number)
{
    return range.incarnation() == incarnation && number >= range.first_number()
        && (range.last_number() == 0 || number <= range.last_number());
}

bool isNeededBy(const ShardState &state, const std::string &incarnation, BatchNumber number)
{
    return std::any_of(
        state.ranges().begin(), state.ranges().end(),
        [&](const JournalRange &range) { return covers(range, incarnation, number); });
}

void addOldParts(std::vector<store::ObjectKey> &keys, const ShardState &before,
                 const ShardState &after)
{
    const bool isSame = before.checkpoint_epoch() == after.checkpoint_epoch()
        && before.checkpoint_number() == after.checkpoint_number();
    const std::uint32_t first = isSame ? after.checkpoint_parts() : 0;
    for (std::uint32_t part = first; part < before.checkpoint_parts(); ++part) {
        keys.push_back(journal::checkpointKey(
            {before.shard(), before.checkpoint_epoch(), before.checkpoint_number(), part}));
    }
}

} // namespace

std::vector<store::ObjectKey> obsoleteObjects(const ShardState &before, const ShardState &after,
                                              const std::vector<ShardState> &all,
                                              const std::optional<PendingClaim> &pendingClaim)
{
    std::vector<store::ObjectKey> keys;
    addOldParts(keys, before, after);
    const auto isNeeded = [&](const std::string &incarnation, BatchNumber number) {
        const bool isInPendingClaim = pendingClaim
            && pendingClaim->incarnation.value() == incarnation && number >= pendingClaim->first;
        return isInPendingClaim || isNeededBy(after, incarnation, number)
            || std::any_of(all.begin(), all.end(), [&](const ShardState &state) {
                   return state.shard() != after.shard() && isNeededBy(state, incarnation, number);
               });
    };
    for (const JournalRange &range : before.ranges()) {
        const BatchNumber last =
            range.last_number() == 0 ? after.checkpoint_number() : range.last_number();
        for (BatchNumber number = range.first_number(); number <= last; ++number) {
            if (!isNeeded(range.incarnation(), number)) {
                keys.push_back(journal::batchKey(Incarnation(range.incarnation()), number));
            }
        }
    }
    return keys;
}

} // namespace basilhall::ownership
