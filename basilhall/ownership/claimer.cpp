#include "basilhall/ownership/claimer.h"

#include "basilhall/ownership/shard_states.h"

#include <algorithm>
#include <utility>

namespace basilhall::ownership
{

using journal::BatchNumber;

Claimer::Claimer(HostName host, const Address &address, const journal::Writer &writer,
                 ShardTable &table, store::OperationIdSource &ids)
    : m_host(host)
    , m_address(address)
    , m_writer(writer)
    , m_table(table)
    , m_ids(ids)
    , m_assignment(host, table.shardCount())
    , m_deadOwners(std::move(host), writer.incarnation())
    , m_seals(writer.incarnation(), ids)
{
}

ShardOwner Claimer::self() const
{
    return {m_writer.incarnation(), m_host, m_address, 0};
}

void Claimer::setHosts(const std::vector<membership::EntryHost> &hosts, bool leaving)
{
    m_assignment.update(hosts, leaving);
    m_deadOwners.setHosts(hosts);
}

std::vector<store::Operation> Claimer::advance(Instant now)
{
    detectLostShards();
    if (isSuperseded()) {
        markAllLost();
        return {};
    }
    startClaims(now);
    startOwnedUpdates();
    std::vector<store::Operation> operations;
    const auto collect = [&operations, now](auto &component) {
        for (store::Operation &operation : component.advance(now)) {
            operations.push_back(std::move(operation));
        }
    };
    collect(m_seals);
    for (auto &[shard, pending] : m_pendingUpdates) {
        collect(pending.update);
    }
    return operations;
}

void Claimer::markAllLost()
{
    while (!m_owned.empty()) {
        markLost(m_owned.begin()->first);
    }
    m_pendingUpdates.clear();
    m_seals.clear();
    m_claimed.clear();
}

// A higher epoch in the table means that another host sealed the journal and claimed the shard.
void Claimer::detectLostShards()
{
    std::vector<ShardId> lostShards;
    for (const auto &[shard, owned] : m_owned) {
        const ShardTable::View *view = m_table.find(shard);
        if (view != nullptr && view->state.epoch() > owned.state.epoch()
            && !m_pendingUpdates.contains(shard)) {
            lostShards.push_back(shard);
        }
    }
    for (const ShardId shard : lostShards) {
        markLost(shard);
    }
}

void Claimer::startClaims(Instant now)
{
    m_deadOwners.clearRecheck();
    for (const ShardId shard : m_assignment.preferredShards()) {
        if (m_pendingUpdates.size() >= kMaxParallelUpdates) {
            return;
        }
        const bool isBusy = m_owned.contains(shard) || m_pendingUpdates.contains(shard);
        if (!isBusy && m_table.isComplete() && !m_table.faults().contains(shard)) {
            startClaim(shard, now);
        }
    }
}

void Claimer::startClaim(ShardId shard, Instant now)
{
    const BatchNumber firstNumber = m_writer.durableNumber() + 1;
    const ShardTable::View *view = m_table.find(shard);
    if (view == nullptr && m_table.isInitialized()) {
        m_table.markMissing(shard);
        return;
    }
    if (view == nullptr) {
        startUpdate(Purpose::Claim, claimedState(initialState(shard), self(), firstNumber, 0),
                    std::nullopt);
        return;
    }
    const std::optional<ShardOwner> owner = m_table.owner(shard);
    if (!owner) {
        startUpdate(Purpose::Claim, claimedState(view->state, self(), firstNumber, 0),
                    view->version);
        return;
    }
    if (!m_deadOwners.isDead(*owner, now)) {
        return;
    }
    const std::optional<BatchNumber> last =
        m_seals.lastNumber(owner->incarnation, openRange(view->state)->first_number());
    if (!last) {
        m_seals.seal(owner->incarnation, m_table);
        return;
    }
    startUpdate(Purpose::Claim, claimedState(view->state, self(), firstNumber, *last),
                view->version);
}

void Claimer::startOwnedUpdates()
{
    for (auto &[shard, owned] : m_owned) {
        const bool mustWait = m_writer.durableNumber() < owned.retryAfterBatch;
        if (mustWait || m_pendingUpdates.contains(shard)
            || m_pendingUpdates.size() >= kMaxParallelUpdates) {
            continue;
        }
        if (owned.releaseAfter && m_writer.durableTicket() >= *owned.releaseAfter) {
            startUpdate(Purpose::Release, releasedState(owned.state, m_writer.durableNumber()),
                        owned.version);
        } else if (!owned.releaseAfter && owned.checkpointNumber != 0
                   && m_writer.durableNumber() >= owned.checkpointNumber) {
            startUpdate(
                Purpose::Move,
                checkpointedState(owned.state, owned.checkpointNumber, owned.checkpointParts),
                owned.version);
        }
    }
}

void Claimer::startUpdate(Purpose purpose, ShardState target,
                          std::optional<store::ResourceVersion> expected)
{
    const ShardId shard = target.shard();
    const BatchNumber firstNumber =
        purpose == Purpose::Claim ? openRange(target)->first_number() : 0;
    m_pendingUpdates.emplace(
        shard,
        PendingUpdate{purpose, firstNumber,
                      ShardUpdate(std::move(target), std::move(expected), m_ids)});
}

void Claimer::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    m_seals.onOutcome(id, outcome, now);
    std::vector<ShardId> finished;
    for (auto &[shard, pending] : m_pendingUpdates) {
        pending.update.onOutcome(id, outcome, now);
        if (pending.update.result() != ShardUpdate::Result::Pending) {
            finished.push_back(shard);
        }
    }
    for (const ShardId shard : finished) {
        finishUpdate(shard);
    }
}

void Claimer::finishUpdate(ShardId shard)
{
    const auto node = m_pendingUpdates.extract(shard);
    const PendingUpdate &pending = node.mapped();
    if (pending.update.current()) {
        (void)m_table.apply(*pending.update.current());
    } else {
        m_table.markMissing(shard);
    }
    switch (pending.purpose) {
    case Purpose::Claim:
        onClaimed(pending);
        break;
    case Purpose::Release:
        onReleased(shard, pending);
        break;
    case Purpose::Move:
        onMoved(shard, pending);
        break;
    }
    m_seals.prune(m_table);
}

void Claimer::onClaimed(const PendingUpdate &pending)
{
    if (pending.update.result() == ShardUpdate::Result::Applied) {
        addOwned(pending.update.target(), pending.update.current()->version);
    }
}

void Claimer::onReleased(ShardId shard, const PendingUpdate &pending)
{
    Owned &owned = m_owned.at(shard);
    if (pending.update.result() == ShardUpdate::Result::Refused && prepareRetry(owned, pending)) {
        return;
    }
    m_owned.erase(shard);
}

void Claimer::onMoved(ShardId shard, const PendingUpdate &pending)
{
    Owned &owned = m_owned.at(shard);
    if (pending.update.result() == ShardUpdate::Result::Applied) {
        owned.state = pending.update.target();
        owned.version = pending.update.current()->version;
        owned.checkpointNumber = 0;
    } else if (prepareRetry(owned, pending)) {
        return;
    } else if (m_table.faults().contains(shard)) {
        // The object is damaged. This host remains the owner because its journal is not sealed.
        owned.checkpointNumber = 0;
    } else {
        markLost(shard);
    }
}

// Handles a refused write by the owner. Returns true, and sets up the next attempt, if the object
// was removed or edited by hand and no other host has claimed the shard.
//
// A removed object is created again from the owner's state, but only once a batch that was sent
// after the removal was detected is durable. The journal was then not sealed, so no other host had
// claimed the shard before; and none can claim it while the object is missing.
bool Claimer::prepareRetry(Owned &owned, const PendingUpdate &pending) const
{
    if (!pending.update.current()) {
        constexpr BatchNumber kInFlightAndNext = 2;
        owned.version.reset();
        owned.retryAfterBatch = m_writer.durableNumber() + kInFlightAndNext;
        return true;
    }
    if (!isStillOwner(owned)) {
        return false;
    }
    owned.version = m_table.find(owned.state.shard())->version;
    return true;
}

// True if the object was edited by hand but still holds this owner and epoch.
bool Claimer::isStillOwner(const Owned &owned) const
{
    const ShardId shard = owned.state.shard();
    const ShardTable::View *view = m_table.find(shard);
    return view != nullptr && !m_table.faults().contains(shard)
        && view->state.epoch() == owned.state.epoch()
        && view->state.owner_incarnation() == m_writer.incarnation().value();
}

void Claimer::addOwned(ShardState state, store::ResourceVersion version)
{
    const ShardId shard = state.shard();
    m_claimed.push_back(state);
    Owned owned;
    owned.state = std::move(state);
    owned.version = std::move(version);
    m_owned.insert_or_assign(shard, std::move(owned));
}

void Claimer::markLost(ShardId shard)
{
    m_owned.erase(shard);
    m_pendingUpdates.erase(shard);
    m_handingOver.erase(shard);
    std::erase_if(m_claimed, [shard](const ShardState &state) { return state.shard() == shard; });
    m_lost.push_back(shard);
    m_hasLostShard = true;
}

std::optional<Instant> Claimer::nextWake() const
{
    std::optional<Instant> wake = m_deadOwners.recheckAt();
    const auto consider = [&wake](std::optional<Instant> other) {
        if (other && (!wake || *other < *wake)) {
            wake = other;
        }
    };
    consider(m_seals.nextWake());
    for (const auto &[shard, pending] : m_pendingUpdates) {
        consider(pending.update.nextWake());
    }
    return wake;
}

std::vector<ShardState> Claimer::takeClaimed()
{
    return std::exchange(m_claimed, {});
}

std::vector<ShardId> Claimer::takeLost()
{
    return std::exchange(m_lost, {});
}

std::vector<ShardId> Claimer::handovers()
{
    std::size_t busy = 0;
    for (const auto &[shard, owned] : m_owned) {
        busy += owned.releaseAfter || m_handingOver.contains(shard) ? 1 : 0;
    }
    for (const auto &[shard, owned] : m_owned) {
        const bool hasRoom = m_assignment.isLeaving() || busy < kMaxHandovers;
        if (!owned.releaseAfter && hasRoom && shouldHandOver(shard)) {
            busy += m_handingOver.insert(shard).second ? 1 : 0;
        }
    }
    return {m_handingOver.begin(), m_handingOver.end()};
}

bool Claimer::shouldHandOver(ShardId shard) const
{
    const std::optional<HostName> &first = m_assignment.pick(shard).first;
    return first != m_host && (m_assignment.isLeaving() || (first && m_deadOwners.isLive(*first)));
}

void Claimer::release(ShardId shard, journal::RecordTicket lastTicket)
{
    const auto found = m_owned.find(shard);
    if (found != m_owned.end()) {
        found->second.releaseAfter = lastTicket;
        m_handingOver.erase(shard);
    }
}

void Claimer::moveCheckpoint(ShardId shard, BatchNumber number, std::uint32_t parts)
{
    const auto found = m_owned.find(shard);
    if (found != m_owned.end()) {
        found->second.checkpointNumber = number;
        found->second.checkpointParts = parts;
    }
}

bool Claimer::isMovePending(ShardId shard) const
{
    const auto found = m_owned.find(shard);
    return found != m_owned.end() && found->second.checkpointNumber != 0;
}

std::optional<std::uint64_t> Claimer::ownedEpoch(ShardId shard) const
{
    const ShardState *state = ownedState(shard);
    if (state == nullptr) {
        return std::nullopt;
    }
    return state->epoch();
}

const ShardState *Claimer::ownedState(ShardId shard) const
{
    const auto found = m_owned.find(shard);
    const bool isOwned = found != m_owned.end() && !found->second.releaseAfter && !isSuperseded();
    return isOwned ? &found->second.state : nullptr;
}

std::vector<ShardId> Claimer::ownedShards() const
{
    std::vector<ShardId> shards;
    for (const auto &[shard, owned] : m_owned) {
        if (ownedState(shard) != nullptr) {
            shards.push_back(shard);
        }
    }
    return shards;
}

std::optional<BatchNumber> Claimer::lowestPendingClaim() const
{
    std::optional<BatchNumber> lowest;
    for (const auto &[shard, pending] : m_pendingUpdates) {
        if (pending.purpose == Purpose::Claim && (!lowest || pending.firstNumber < *lowest)) {
            lowest = pending.firstNumber;
        }
    }
    return lowest;
}

} // namespace basilhall::ownership
