// Claims the shards that are assigned to this host and releases those assigned to others. A shard
// of a host that appears dead is taken over in three steps: the owner's journal is sealed, the
// shard object is changed by conditional update, and the caller replays the records.
//
//     Claimer claimer(HostName("entry-1"), address, writer, table, ids);
//     claimer.setHosts(hostView.hosts(), false);
//     // ... advance() and onOutcome(), and after each event:
//     for (const ShardState &state : claimer.takeClaimed()) {
//         // Read the state's checkpoint and ranges with a journal::Reader, then serve the shard.
//         // If an object is missing, first read the shard object again: its epoch may be higher.
//     }
//     for (ShardId shard : claimer.takeLost()) {
//         // Stop serving the shard immediately.
//     }
//     if (claimer.isSuperseded()) {
//         // Continue with a new incarnation, writer and claimer.
//     }
//     for (ShardId shard : claimer.handovers()) {
//         // Stop serving the shard, then release it.
//         claimer.release(shard, lastTicketOfTheShard);
//     }
#pragma once

#include "basilhall/journal/writer.h"
#include "basilhall/membership/entry_host.h"
#include "basilhall/ownership/assignment.h"
#include "basilhall/ownership/dead_owners.h"
#include "basilhall/ownership/journal_seals.h"
#include "basilhall/ownership/shard_table.h"
#include "basilhall/ownership/shard_update.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace basilhall::ownership
{

// Not thread-safe. Safety depends on the sealed journals and the conditional updates only; the
// states of hosts merely decide when a takeover is attempted. Once the journal of this host is
// sealed, the claimer owns no shard and issues no further operations.
class Claimer
{
public:
    // Maximum number of concurrent shard updates.
    static constexpr std::size_t kMaxParallelUpdates = 16;
    // Maximum number of concurrent handovers while this host is not leaving.
    static constexpr std::size_t kMaxHandovers = 4;

    // All references must outlive the claimer. Claims are made for the incarnation of `writer`.
    Claimer(HostName host, const Address &address, const journal::Writer &writer, ShardTable &table,
            store::OperationIdSource &ids);

    // Sets the other entry hosts, and whether this host is leaving.
    void setHosts(const std::vector<membership::EntryHost> &hosts, bool leaving);

    // Returns the operations to execute now.
    std::vector<store::Operation> advance(Instant now);
    // Takes the outcome of an operation; ignores ids that are not outstanding.
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);
    // Returns the time at which advance() must be called if no outcome arrives before.
    std::optional<Instant> nextWake() const;

    // Returns the states of the shards claimed since the last call.
    std::vector<ShardState> takeClaimed();
    // Returns the shards lost to other hosts since the last call.
    std::vector<ShardId> takeLost();
    // Returns the shards that this host should hand over now. Once returned, a shard is returned
    // again until it is released or lost, even if the host that it is assigned to fails.
    std::vector<ShardId> handovers();
    // Releases `shard`. This host no longer owns it after this call; the shard object is updated
    // once the records up to `lastTicket` are durable.
    void release(ShardId shard, journal::RecordTicket lastTicket);
    // Moves the checkpoint of `shard` forward to one of `parts` parts that covers the batches up to
    // `number`, and its ranges past it, once these batches are durable. ownedState() returns the
    // new state when the move is done.
    void moveCheckpoint(ShardId shard, journal::BatchNumber number, std::uint32_t parts);

    // True while a moveCheckpoint() has neither succeeded nor been abandoned.
    bool isMovePending(ShardId shard) const;

    // True, permanently, once the journal of this incarnation is sealed or another host has claimed
    // one of its shards, which requires sealing the journal first. The process should continue with
    // a new incarnation.
    bool isSuperseded() const { return m_hasLostShard || m_writer.isSealed(); }

    // Returns the epoch under which this host owns `shard`, or std::nullopt if it does not own it.
    std::optional<std::uint64_t> ownedEpoch(ShardId shard) const;
    // Returns the state of `shard` as last written by this host, or null if it does not own it.
    const ShardState *ownedState(ShardId shard) const;
    std::vector<ShardId> ownedShards() const;
    // Returns the lowest first batch number among the ranges of the pending claims, if there are
    // any.
    std::optional<journal::BatchNumber> lowestPendingClaim() const;
    // Returns the owners whose shards this host would take over; see HostView::watch().
    std::vector<HostName> watchedOwners() const { return m_assignment.watchedOwners(m_table); }

private:
    enum class Purpose { Claim, Release, Move };

    struct Owned {
        ShardState state;
        // Empty if the object was found to be missing.
        std::optional<store::ResourceVersion> version;
        // Batch that must be durable before the object may be written.
        journal::BatchNumber retryAfterBatch = 0;
        std::optional<journal::RecordTicket> releaseAfter;
        // Last batch covered by the checkpoint to move to; 0 if no move is pending.
        journal::BatchNumber checkpointNumber = 0;
        std::uint32_t checkpointParts = 0;
    };

    struct PendingUpdate {
        Purpose purpose;
        journal::BatchNumber firstNumber;
        ShardUpdate update;
    };

    ShardOwner self() const;
    void markAllLost();
    void detectLostShards();
    void startClaims(Instant now);
    void startClaim(ShardId shard, Instant now);
    void startOwnedUpdates();
    void startUpdate(Purpose purpose, ShardState target,
                     std::optional<store::ResourceVersion> expected);
    void finishUpdate(ShardId shard);
    void onClaimed(const PendingUpdate &pending);
    void onReleased(ShardId shard, const PendingUpdate &pending);
    void onMoved(ShardId shard, const PendingUpdate &pending);
    bool isStillOwner(const Owned &owned) const;
    bool prepareRetry(Owned &owned, const PendingUpdate &pending) const;
    bool shouldHandOver(ShardId shard) const;
    void addOwned(ShardState state, store::ResourceVersion version);
    void markLost(ShardId shard);

    HostName m_host;
    Address m_address;
    const journal::Writer &m_writer;
    ShardTable &m_table;
    store::OperationIdSource &m_ids;
    Assignment m_assignment;
    DeadOwners m_deadOwners;
    JournalSeals m_seals;
    std::map<ShardId, Owned> m_owned;
    std::map<ShardId, PendingUpdate> m_pendingUpdates;
    std::set<ShardId> m_handingOver;
    bool m_hasLostShard = false;
    std::vector<ShardState> m_claimed;
    std::vector<ShardId> m_lost;
};

} // namespace basilhall::ownership
