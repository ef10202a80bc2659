#include "basilhall/entry/shard_driver.h"

#include "basilhall/entry/fleet_limit_times.h"
#include "basilhall/entry/team_slice.h"

#include <algorithm>
#include <utility>

namespace basilhall::entry
{

namespace
{

// The release and the claim each increment the epoch.
constexpr std::uint64_t kEpochsSinceRelease = 2;

// Returns the requests that the owner that handed the shard over could still grant, by slice.
std::map<limit::SliceKey, std::uint32_t> releasedLimits(const std::vector<journal::Record> &records,
                                                        std::uint64_t claimedEpoch)
{
    std::map<limit::SliceKey, std::uint32_t> remaining;
    for (const journal::Record &record : records) {
        const bool isLast = record.epoch() + kEpochsSinceRelease == claimedEpoch;
        if (isLast && record.has_limit_released()) {
            const journal::LimitReleased &released = record.limit_released();
            remaining.insert_or_assign({TeamName(released.team()), released.slice()},
                                       released.requests());
        }
    }
    return remaining;
}

// Returns the number of batches of earlier owners since the last checkpoint.
std::uint64_t replayedBatches(const journal::ShardState &state)
{
    std::uint64_t batches = 0;
    for (const journal::JournalRange &range : state.ranges()) {
        if (range.last_number() != 0) {
            batches += range.last_number() - range.first_number() + 1;
        }
    }
    return batches;
}

std::optional<Instant> earlier(std::optional<Instant> a, std::optional<Instant> b)
{
    if (!a || !b) {
        return a ? a : b;
    }
    return std::min(*a, *b);
}

} // namespace

ShardDriver::ShardDriver(HostName host, Address peerAddress,
                         std::shared_ptr<journal::Writer> writer, owner::Owner &owner,
                         limit::Limiter &limiter, StorePump &pump, store::OperationIdSource &ids,
                         Reporter report)
    : m_host(std::move(host))
    , m_address(std::move(peerAddress))
    , m_writer(std::move(writer))
    , m_owner(owner)
    , m_limiter(limiter)
    , m_pump(pump)
    , m_ids(ids)
    , m_report(std::move(report))
    , m_leases(*m_writer, limiter)
{
}

void ShardDriver::setManifest(const manifest::ManifestPtr &manifest, Instant now)
{
    const manifest::ManifestPtr before = std::exchange(m_manifest, manifest);
    if (m_claimer == nullptr) {
        m_table = std::make_unique<ownership::ShardTable>(manifest->shardCount());
        m_tableReader = std::make_shared<ownership::ShardTableReader>(*m_table, m_ids);
        m_claimer =
            std::make_shared<ownership::Claimer>(m_host, m_address, *m_writer, *m_table, m_ids);
        m_claimer->setHosts(m_hosts, m_isLeaving);
        m_checkpoints = std::make_unique<CheckpointDriver>(*m_writer, m_owner, *m_claimer, *m_table,
                                                           m_pump, m_ids);
        return;
    }
    for (const ownership::ShardId shard : m_claimer->ownedShards()) {
        if (m_owner.owns(shard)) {
            updateRates(shard, *before, now);
        }
    }
}

// A slice of a new team starts full. A slice created by a new division of an existing limit starts
// empty, once no grant of the old division can be in use.
void ShardDriver::updateRates(std::uint32_t shard, const manifest::Manifest &before, Instant now)
{
    for (const TeamSlice &slice : slicesOfShard(*m_manifest, shard)) {
        if (m_limiter.holds(slice.key)) {
            m_limiter.setRate(slice.key, slice.rate, now);
        } else if (before.team(slice.key.team) == nullptr) {
            m_limiter.adoptFresh(slice.key, slice.rate, now);
        } else {
            m_limiter.adoptAfter(slice.key, slice.rate, now + fleetLimitTimes().successorWait());
        }
    }
    for (const TeamSlice &slice : slicesOfShard(before, shard)) {
        const manifest::Team *team = m_manifest->team(slice.key.team);
        if (team == nullptr || slice.key.slice >= sliceCount(*team)) {
            m_limiter.drop(slice.key);
        }
    }
}

void ShardDriver::objectSeen(const store::Object &object)
{
    if (m_table == nullptr) {
        return;
    }
    const Result<void> applied = m_table->apply(object);
    if (!applied) {
        m_report({ShardEvent::Faulty, 0, 0, 0, false, applied.error()});
    }
}

void ShardDriver::setHosts(std::vector<membership::EntryHost> hosts, bool isLeaving)
{
    m_hosts = std::move(hosts);
    m_isLeaving = isLeaving;
    if (m_claimer != nullptr) {
        m_claimer->setHosts(m_hosts, isLeaving);
    }
}

void ShardDriver::advance(Instant now)
{
    if (m_claimer == nullptr) {
        return;
    }
    for (const auto &[shard, view] : m_table->views()) {
        if (view.state.owner_incarnation().empty()) {
            m_releasedEpochs[shard] = view.state.epoch();
        }
    }
    m_pump.run(m_tableReader);
    m_pump.run(m_claimer);
    startReplays();
    advanceReplays(now);
    for (const ownership::ShardId shard : m_claimer->takeLost()) {
        m_report({ShardEvent::Lost, shard});
        dropShard(shard);
    }
    advanceHandovers(now);
    m_checkpoints->advance(now);
    renewLease(now);
    std::vector<store::Operation> writes = m_writer->advance(now);
    m_leases.onSending(writes, now);
    m_pump.execute(m_writer, std::move(writes));
    m_leases.processDurableBatches();
}

std::optional<Instant> ShardDriver::nextWake() const
{
    std::optional<Instant> wake = m_writer->nextWake();
    if (m_claimer != nullptr) {
        wake = earlier(wake, m_claimer->nextWake());
        wake = earlier(wake, m_tableReader->nextWake());
        wake = earlier(wake, m_checkpoints->nextWake());
    }
    for (const Replay &replay : m_replays) {
        wake = earlier(wake, replay.reader->nextWake());
    }
    return wake;
}

bool ShardDriver::isTakeover(const journal::ShardState &state) const
{
    const auto released = m_releasedEpochs.find(state.shard());
    const bool wasReleased =
        released != m_releasedEpochs.end() && released->second + 1 == state.epoch();
    return state.epoch() > 1 && !wasReleased;
}

void ShardDriver::startReplays()
{
    std::vector<journal::ShardState> claimed = m_claimer->takeClaimed();
    if (claimed.empty()) {
        return;
    }
    Replay replay;
    for (const journal::ShardState &state : claimed) {
        m_report({ShardEvent::Claimed, state.shard(), state.epoch(), 0, isTakeover(state)});
        replay.states.emplace(state.shard(), state);
    }
    replay.reader =
        std::make_shared<journal::Reader>(std::move(claimed), m_ids, journal::ReaderOptions());
    m_replays.push_back(std::move(replay));
}

void ShardDriver::advanceReplays(Instant now)
{
    for (Replay &replay : m_replays) {
        m_pump.run(replay.reader);
        for (journal::Record &record : replay.reader->take()) {
            replay.records[record.shard()].push_back(std::move(record));
        }
        if (!replay.reader->isDone()) {
            continue;
        }
        for (const auto &[shard, state] : replay.states) {
            const auto failure = replay.reader->failures().find(shard);
            if (failure != replay.reader->failures().end()) {
                // Another host may have claimed the shard and removed the objects to be read.
                m_tableReader->refresh(shard);
                m_report({ShardEvent::Faulty, shard, state.epoch(), 0, false, failure->second});
            } else if (m_claimer->ownedEpoch(shard) == state.epoch()) {
                finishReplay(state, replay.records[shard], now);
            }
        }
    }
    std::erase_if(m_replays, [](const Replay &replay) { return replay.reader->isDone(); });
}

void ShardDriver::finishReplay(const journal::ShardState &state,
                               const std::vector<journal::Record> &records, Instant now)
{
    const Result<void> acquired = m_owner.acquireShard(state.shard(), state.epoch(), records, now);
    if (!acquired) {
        m_report({ShardEvent::Faulty, state.shard(), state.epoch(), 0, false, acquired.error()});
        return;
    }
    adoptLimits(state, records, now);
    std::uint64_t bytes = 0;
    for (const journal::Record &record : records) {
        bytes += record.ByteSizeLong();
    }
    m_checkpoints->shardAcquired(state.shard(), bytes, replayedBatches(state));
    ++m_localRevision;
    m_report({ShardEvent::Served, state.shard(), state.epoch(), records.size()});
}

// A limit takes effect once no grant of the previous owner can be in use. It starts with the
// requests that the previous owner handed over, otherwise empty; at epoch 1 it starts full
// immediately.
void ShardDriver::adoptLimits(const journal::ShardState &state,
                              const std::vector<journal::Record> &records, Instant now)
{
    const limit::LimitTimes times = fleetLimitTimes();
    const bool isFresh = state.epoch() == 1;
    const Duration wait =
        isTakeover(state) ? times.successorWait() : times.validity + times.maxSendDelay;
    const auto remaining = isTakeover(state) ? std::map<limit::SliceKey, std::uint32_t>()
                                             : releasedLimits(records, state.epoch());
    for (const TeamSlice &slice : slicesOfShard(*m_manifest, state.shard())) {
        const auto found = remaining.find(slice.key);
        if (isFresh) {
            m_limiter.adoptFresh(slice.key, slice.rate, now);
        } else if (found != remaining.end()) {
            m_limiter.adoptReleased(slice.key, slice.rate, found->second, now + wait);
        } else {
            m_limiter.adoptAfter(slice.key, slice.rate, now + wait);
        }
    }
}

// Records the requests that this owner could still grant, for the next owner.
void ShardDriver::writeLimits(std::uint32_t shard, Instant now)
{
    const std::uint64_t epoch = *m_claimer->ownedEpoch(shard);
    for (const TeamSlice &slice : slicesOfShard(*m_manifest, shard)) {
        const std::uint32_t remaining = m_limiter.remaining(slice.key, now);
        if (remaining == 0) {
            continue;
        }
        journal::Record record;
        record.set_shard(shard);
        record.set_epoch(epoch);
        record.mutable_limit_released()->set_team(slice.key.team.value());
        record.mutable_limit_released()->set_slice(slice.key.slice);
        record.mutable_limit_released()->set_requests(remaining);
        // If the writer rejects the record, the limit starts empty at the next owner.
        (void)m_writer->append(record, now);
    }
}

void ShardDriver::dropShard(std::uint32_t shard)
{
    m_owner.dropShard(shard);
    for (const TeamSlice &slice : slicesOfShard(*m_manifest, shard)) {
        m_limiter.drop(slice.key);
    }
    ++m_localRevision;
}

void ShardDriver::advanceHandovers(Instant now)
{
    for (const ownership::ShardId shard : m_claimer->handovers()) {
        if (m_owner.owns(shard)) {
            m_owner.beginRelease(shard, now);
            ++m_localRevision;
        }
        if (m_owner.isIdle(shard)) {
            writeLimits(shard, now);
            dropShard(shard);
            m_claimer->release(shard, m_writer->lastTicket());
            m_report({ShardEvent::HandedOver, shard});
        }
    }
}

void ShardDriver::renewLease(Instant now)
{
    const std::vector<ownership::ShardId> owned = m_claimer->ownedShards();
    if (owned.empty() || m_limiter.sliceCount() == 0) {
        return;
    }
    m_leases.renewIfDue(owned.front(), *m_claimer->ownedEpoch(owned.front()), now);
}

std::vector<ShardOwner> ShardDriver::owners() const
{
    std::vector<ShardOwner> owners;
    if (m_table == nullptr) {
        return owners;
    }
    owners.resize(m_table->shardCount());
    for (std::uint32_t shard = 0; shard < m_table->shardCount(); ++shard) {
        if (m_owner.owns(shard)) {
            owners[shard].isSelf = true;
            continue;
        }
        const auto owner = m_table->owner(shard);
        const bool isElsewhere = owner && owner->incarnation != m_writer->incarnation();
        if (isElsewhere) {
            owners[shard].address = owner->address;
        }
    }
    return owners;
}

std::uint64_t ShardDriver::revision() const
{
    return m_localRevision + (m_table == nullptr ? 0 : m_table->revision());
}

std::vector<HostName> ShardDriver::watchedOwners() const
{
    return m_claimer == nullptr ? std::vector<HostName>() : m_claimer->watchedOwners();
}

std::map<HostName, Address> ShardDriver::mentionedHosts() const
{
    std::map<HostName, Address> hosts;
    if (m_table == nullptr) {
        return hosts;
    }
    for (std::uint32_t shard = 0; shard < m_table->shardCount(); ++shard) {
        if (const auto owner = m_table->owner(shard)) {
            hosts.emplace(owner->host, owner->address);
        }
    }
    return hosts;
}

std::size_t ShardDriver::ownedShards() const
{
    return m_claimer == nullptr ? 0 : m_claimer->ownedShards().size();
}

bool ShardDriver::isSuperseded() const
{
    return m_writer->isSealed() || (m_claimer != nullptr && m_claimer->isSuperseded());
}

bool ShardDriver::hasHandedOver() const
{
    return ownedShards() == 0;
}

} // namespace basilhall::entry
