#include "basilhall/ownership/shard_states.h"

namespace basilhall::ownership
{

namespace
{

void closeOpenRange(ShardState &state, journal::BatchNumber lastNumber)
{
    if (openRange(state) == nullptr) {
        return;
    }
    JournalRange *range = state.mutable_ranges(state.ranges_size() - 1);
    if (lastNumber < range->first_number()) {
        state.mutable_ranges()->RemoveLast();
    } else {
        range->set_last_number(lastNumber);
    }
}

void addOpenRange(ShardState &state, const std::string &incarnation, journal::BatchNumber first)
{
    JournalRange *range = state.add_ranges();
    range->set_incarnation(incarnation);
    range->set_first_number(first);
}

} // namespace

const JournalRange *openRange(const ShardState &state)
{
    if (state.ranges_size() == 0) {
        return nullptr;
    }
    const JournalRange &last = state.ranges(state.ranges_size() - 1);
    return last.last_number() == 0 ? &last : nullptr;
}

ShardState initialState(ShardId shard)
{
    ShardState state;
    state.set_format_version(journal::kFormatVersion);
    state.set_shard(shard);
    return state;
}

ShardState claimedState(const ShardState &state, const ShardOwner &owner,
                        journal::BatchNumber firstNumber, journal::BatchNumber lastSealed)
{
    ShardState claimed = state;
    closeOpenRange(claimed, lastSealed);
    addOpenRange(claimed, owner.incarnation.value(), firstNumber);
    claimed.set_epoch(state.epoch() + 1);
    claimed.set_owner_incarnation(owner.incarnation.value());
    claimed.set_owner_host(owner.host.value());
    claimed.set_owner_address(toString(owner.address));
    return claimed;
}

ShardState releasedState(const ShardState &state, journal::BatchNumber lastNumber)
{
    ShardState released = state;
    closeOpenRange(released, lastNumber);
    released.set_epoch(state.epoch() + 1);
    released.clear_owner_incarnation();
    released.clear_owner_host();
    released.clear_owner_address();
    return released;
}

ShardState checkpointedState(const ShardState &state, journal::BatchNumber number,
                             std::uint32_t parts)
{
    ShardState checkpointed = state;
    checkpointed.clear_ranges();
    addOpenRange(checkpointed, state.owner_incarnation(), number + 1);
    checkpointed.set_checkpoint_epoch(state.epoch());
    checkpointed.set_checkpoint_number(number);
    checkpointed.set_checkpoint_parts(parts);
    return checkpointed;
}

} // namespace basilhall::ownership
