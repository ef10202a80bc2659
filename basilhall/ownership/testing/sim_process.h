// One run of an entry host in the interleaving tests. Drives the libraries like the real process
// does, but stores a chain of numbers for each shard instead of programs.
#pragma once

#include "basilhall/journal/reader.h"
#include "basilhall/ownership/checkpointer.h"
#include "basilhall/ownership/shard_table_reader.h"
#include "basilhall/ownership/testing/faulty_network.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace basilhall::ownership::testing
{

// The numbers of the records of a shard as known to one owner, oldest first.
using Chain = std::vector<std::uint64_t>;

// Callbacks for the checks of a simulation.
struct SimObserver {
    // The owner of `epoch` has replayed `chain` and starts to serve the shard. `isLinked` is false
    // if a record does not refer to the record before it.
    std::function<void(ShardId, std::uint64_t epoch, const Chain &chain, bool isLinked)> activated;
    // The record `number` written under `epoch` was reported durable.
    std::function<void(ShardId, std::uint64_t epoch, std::uint64_t number)> durable;
    // The owner of `epoch` could not read the records.
    std::function<void(ShardId, std::uint64_t epoch, const std::string &)> failed;
};

class SimProcess
{
public:
    SimProcess(HostName host, std::uint64_t run, std::uint32_t shardCount, Mutation mutation,
               const SimObserver &observer);

    // Returns the operations to send. `now` is the time on this host.
    std::vector<store::Operation> advance(Instant now);
    void onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now);

    // Appends the record `number` to a shard that this process serves. Returns false if it serves
    // none or the writer refuses the record.
    bool append(std::uint64_t random, std::uint64_t number, Instant now);
    void handOver(std::uint64_t random);
    void checkpoint(std::uint64_t random);
    void setHosts(const std::vector<membership::EntryHost> &hosts, bool leaving);
    // Releases the shards that are assigned to other hosts.
    void rebalance();
    void refresh() { m_tableReader.refreshAll(); }

    std::uint64_t run() const { return m_run; }
    membership::EntryHost entry(membership::HostState state) const;
    bool isSuperseded() const { return m_claimer.isSuperseded(); }
    // Returns the shards that this process owns and has replayed.
    std::vector<ShardId> servedShards() const;
    bool isIdle() const { return m_unconfirmed.empty() && m_replays.empty() && !m_checkpointer; }

private:
    struct Serving {
        std::uint64_t epoch = 0;
        Chain chain;
        journal::RecordTicket lastTicket = 0;
    };
    struct Replay {
        std::uint64_t epoch = 0;
        journal::Reader reader;
        Chain chain;
        bool isLinked = true;
    };
    struct Unconfirmed {
        journal::RecordTicket ticket = 0;
        ShardId shard = 0;
        std::uint64_t epoch = 0;
        std::uint64_t number = 0;
    };

    void processResults();
    void takeClaimsAndLosses();
    void replayRecords();
    void reportDurable();
    void stopServing(ShardId shard);
    journal::Record makeRecord(ShardId shard, std::uint64_t number, std::uint64_t previous) const;

    std::uint64_t m_run;
    HostName m_host;
    Mutation m_mutation;
    const SimObserver &m_observer;
    store::OperationIdSource m_ids;
    journal::Writer m_writer;
    ShardTable m_table;
    ShardTableReader m_tableReader;
    Claimer m_claimer;
    std::unique_ptr<Checkpointer> m_checkpointer;
    std::map<ShardId, Serving> m_serving;
    std::map<ShardId, std::unique_ptr<Replay>> m_replays;
    std::deque<Unconfirmed> m_unconfirmed;
};

} // namespace basilhall::ownership::testing
