// Drives the ownership of shards on this host: claims, takeovers with replay, handovers, and the
// team limits that belong to a shard.
//
//     shards.setManifest(manifest, now);
//     shards.setHosts(hosts, false);
//     shards.advance(now); // in each iteration of the control loop
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/entry/checkpoint_driver.h"
#include "basilhall/entry/lease_renewer.h"
#include "basilhall/entry/routing_view.h"
#include "basilhall/entry/shard_report.h"
#include "basilhall/entry/store_pump.h"
#include "basilhall/journal/reader.h"
#include "basilhall/journal/writer.h"
#include "basilhall/limit/limiter.h"
#include "basilhall/manifest/manifest.h"
#include "basilhall/membership/entry_host.h"
#include "basilhall/owner/owner.h"
#include "basilhall/ownership/claimer.h"
#include "basilhall/ownership/shard_table.h"
#include "basilhall/ownership/shard_table_reader.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace basilhall::entry
{

// Control thread only. Uses no sockets, so tests can run several hosts in virtual time.
class ShardDriver
{
public:
    using Reporter = std::function<void(const ShardReport &)>;

    // The references must outlive the driver.
    ShardDriver(HostName host, Address peerAddress, std::shared_ptr<journal::Writer> writer,
                owner::Owner &owner, limit::Limiter &limiter, StorePump &pump,
                store::OperationIdSource &ids, Reporter report);

    // The first manifest sets the number of shards; later ones only change teams and rates.
    void setManifest(const manifest::ManifestPtr &manifest, Instant now);
    // Applies a shard object that was received from a watch.
    void objectSeen(const store::Object &object);
    void setHosts(std::vector<membership::EntryHost> hosts, bool isLeaving);
    // Processes changes since the last call and advances all operations in progress.
    void advance(Instant now);
    std::optional<Instant> nextWake() const;

    // Returns the current owner of each shard, indexed by shard.
    std::vector<ShardOwner> owners() const;
    std::uint64_t revision() const;
    std::vector<HostName> watchedOwners() const;
    // Returns the owners that are named in the shard objects, with their addresses.
    std::map<HostName, Address> mentionedHosts() const;
    std::size_t ownedShards() const;
    // True once this host owns no shard.
    bool hasHandedOver() const;
    // True permanently once this incarnation has lost its journal or a shard; see
    // Claimer::isSuperseded().
    bool isSuperseded() const;

private:
    // True if the previous owner of the shard did not release it.
    bool isTakeover(const journal::ShardState &state) const;
    void startReplays();
    void advanceReplays(Instant now);
    void finishReplay(const journal::ShardState &state, const std::vector<journal::Record> &records,
                      Instant now);
    void updateRates(std::uint32_t shard, const manifest::Manifest &before, Instant now);
    void adoptLimits(const journal::ShardState &state, const std::vector<journal::Record> &records,
                     Instant now);
    void writeLimits(std::uint32_t shard, Instant now);
    void dropShard(std::uint32_t shard);
    void advanceHandovers(Instant now);
    void renewLease(Instant now);

    struct Replay {
        std::map<std::uint32_t, journal::ShardState> states;
        std::map<std::uint32_t, std::vector<journal::Record>> records;
        std::shared_ptr<journal::Reader> reader;
    };

    const HostName m_host;
    const Address m_address;
    std::shared_ptr<journal::Writer> m_writer;
    owner::Owner &m_owner;
    limit::Limiter &m_limiter;
    StorePump &m_pump;
    store::OperationIdSource &m_ids;
    Reporter m_report;
    LeaseRenewer m_leases;
    manifest::ManifestPtr m_manifest;
    std::unique_ptr<ownership::ShardTable> m_table;
    std::shared_ptr<ownership::ShardTableReader> m_tableReader;
    std::shared_ptr<ownership::Claimer> m_claimer;
    std::unique_ptr<CheckpointDriver> m_checkpoints;
    std::vector<Replay> m_replays;
    std::vector<membership::EntryHost> m_hosts;
    bool m_isLeaving = false;
    // Epoch at which each shard was last observed without an owner.
    std::map<std::uint32_t, std::uint64_t> m_releasedEpochs;
    std::uint64_t m_localRevision = 0;
};

} // namespace basilhall::entry
