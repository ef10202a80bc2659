// Seals the journals of dead incarnations. There is one sealer per incarnation, which is shared by
// all shards that the incarnation owned.
//
//     if (const auto last = seals.lastNumber(dead, firstNumberOfTheShard)) {
//         // Claim the shard; the journal of `dead` ends at batch *last.
//     } else {
//         seals.seal(dead, table);
//     }
#pragma once

#include "basilhall/journal/sealer.h"
#include "basilhall/ownership/shard_table.h"

#include <map>
#include <optional>
#include <vector>

namespace basilhall::ownership
{

// Not thread-safe.
class JournalSeals
{
public:
    // `ids` must outlive this object.
    JournalSeals(Incarnation self, store::OperationIdSource &ids);

    // Starts to seal the journal of `dead`, unless this has already been started.
    void seal(const Incarnation &dead, const ShardTable &table);
    // Returns the number of the last batch of the journal of `dead`, for a shard whose range in it
    // begins at `first`. Returns std::nullopt if the journal is not sealed yet, or must be sealed
    // again because the result is lower than `first` allows.
    std::optional<journal::BatchNumber> lastNumber(const Incarnation &dead,
                                                   journal::BatchNumber first);
    // Removes the finished seals that no shard of `table` needs any more.
    void prune(const ShardTable &table);
    void clear() { m_sealers.clear(); }

    // Returns the operations to execute now.
    std::vector<store::Operation> advance(Instant now);
    // Takes the outcome of an operation; ignores ids that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns the time at which advance() must be called if no outcome arrives before.
    std::optional<Instant> nextWake() const;

private:
    Incarnation m_self;
    store::OperationIdSource &m_ids;
    std::map<Incarnation, journal::Sealer> m_sealers;
};

} // namespace basilhall::ownership
