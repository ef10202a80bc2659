// Determines the order in which the objects of several shards are read. The records of each shard
// come in order, and a batch that contains records of several shards is read only once if their
// cursors reach it at the same time.
//
//     ReadPlan plan(states);
//     while (const auto step = plan.next()) {
//         // Read step->key; it holds records of step->shards.
//     }
#pragma once

#include "basilhall/journal/read_step.h"
#include "basilhall/journal/record.pb.h"

#include <optional>
#include <vector>

namespace basilhall::journal
{

// Not thread-safe. Computes the steps on demand, so that its memory is bounded by the given states.
class ReadPlan
{
public:
    // Plans the checkpoint and then the closed ranges of each state. Open ranges (last_number 0)
    // belong to the new owner and contain no records yet.
    explicit ReadPlan(std::vector<ShardState> states);

    // Returns the next object to read, or nothing at the end.
    std::optional<ReadStep> next();

private:
    struct Cursor {
        ShardState state;
        std::uint32_t part = 0;
        int range = 0;
        std::uint64_t number = 0;

        bool isAtEnd() const;
        bool isInCheckpoint() const { return part < state.checkpoint_parts(); }
        store::ObjectKey key() const;
        void skipEmptyRanges();
        void advance();
    };

    std::vector<Cursor> m_cursors;
};

} // namespace basilhall::journal
