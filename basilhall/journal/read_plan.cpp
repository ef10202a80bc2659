#include "basilhall/journal/read_plan.h"

#include "basilhall/journal/batch_codec.h"
#include "basilhall/journal/checkpoint_codec.h"

namespace basilhall::journal
{

bool ReadPlan::Cursor::isAtEnd() const
{
    return !isInCheckpoint() && range >= state.ranges_size();
}

store::ObjectKey ReadPlan::Cursor::key() const
{
    if (isInCheckpoint()) {
        return checkpointKey(
            {state.shard(), state.checkpoint_epoch(), state.checkpoint_number(), part});
    }
    return batchKey(Incarnation(state.ranges(range).incarnation()), number);
}

// Skips open ranges and ranges that have no further batch. The next range is read from its first
// number.
void ReadPlan::Cursor::skipEmptyRanges()
{
    while (
        range < state.ranges_size()
        && (state.ranges(range).last_number() == 0 || number > state.ranges(range).last_number())) {
        ++range;
        number = range < state.ranges_size() ? state.ranges(range).first_number() : 0;
    }
}

void ReadPlan::Cursor::advance()
{
    if (isInCheckpoint()) {
        ++part;
        return;
    }
    ++number;
    skipEmptyRanges();
}

ReadPlan::ReadPlan(std::vector<ShardState> states)
{
    for (ShardState &state : states) {
        Cursor cursor;
        cursor.state = std::move(state);
        if (cursor.state.ranges_size() > 0) {
            cursor.number = cursor.state.ranges(0).first_number();
        }
        cursor.skipEmptyRanges();
        m_cursors.push_back(std::move(cursor));
    }
}

std::optional<ReadStep> ReadPlan::next()
{
    std::optional<ReadStep> step;
    for (const Cursor &cursor : m_cursors) {
        if (!cursor.isAtEnd() && (!step || cursor.key() < step->key)) {
            step = ReadStep{cursor.key(), {}};
        }
    }
    if (!step) {
        return std::nullopt;
    }
    for (Cursor &cursor : m_cursors) {
        if (!cursor.isAtEnd() && cursor.key() == step->key) {
            step->shards.push_back(cursor.state.shard());
            cursor.advance();
        }
    }
    return step;
}

} // namespace basilhall::journal
