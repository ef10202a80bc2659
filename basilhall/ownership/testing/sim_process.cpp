#include "basilhall/ownership/testing/sim_process.h"

namespace basilhall::ownership::testing
{

namespace
{

const Address kAddress{"127.0.0.1", 7000};

} // namespace

SimProcess::SimProcess(HostName host, std::uint64_t run, std::uint32_t shardCount,
                       Mutation mutation, const SimObserver &observer)
    : m_run(run)
    , m_host(std::move(host))
    , m_mutation(mutation)
    , m_observer(observer)
    , m_writer(Incarnation("run" + std::to_string(run)), m_ids, {})
    , m_table(shardCount)
    , m_tableReader(m_table, m_ids)
    , m_claimer(m_host, kAddress, m_writer, m_table, m_ids)
{
}

std::vector<store::Operation> SimProcess::advance(Instant now)
{
    std::vector<store::Operation> operations;
    const auto collect = [&operations, now](auto &component) {
        for (store::Operation &operation : component.advance(now)) {
            operations.push_back(std::move(operation));
        }
    };
    collect(m_tableReader);
    collect(m_writer);
    collect(m_claimer);
    if (m_checkpointer) {
        collect(*m_checkpointer);
    }
    processResults();
    for (auto &[shard, replay] : m_replays) {
        collect(replay->reader);
    }
    return operations;
}

void SimProcess::onOutcome(store::OperationId id, const store::Outcome &outcome, Instant now)
{
    m_tableReader.onOutcome(id, outcome, now);
    m_writer.onOutcome(id, outcome, now);
    m_claimer.onOutcome(id, outcome, now);
    if (m_checkpointer) {
        m_checkpointer->onOutcome(id, outcome, now);
    }
    for (auto &[shard, replay] : m_replays) {
        replay->reader.onOutcome(id, outcome, now);
    }
    processResults();
}

void SimProcess::processResults()
{
    reportDurable();
    takeClaimsAndLosses();
    replayRecords();
    if (m_checkpointer && m_checkpointer->isFinished()) {
        m_checkpointer.reset();
    }
}

void SimProcess::takeClaimsAndLosses()
{
    for (const ShardId shard : m_claimer.takeLost()) {
        stopServing(shard);
    }
    for (ShardState &state : m_claimer.takeClaimed()) {
        const ShardId shard = state.shard();
        const std::uint64_t epoch = state.epoch();
        std::vector<ShardState> states;
        if (m_mutation != Mutation::NoReplay) {
            states.push_back(std::move(state));
        }
        m_replays.insert_or_assign(
            shard,
            std::make_unique<Replay>(
                Replay{epoch, journal::Reader(std::move(states), m_ids, {}), {}, true}));
    }
}

void SimProcess::replayRecords()
{
    std::vector<ShardId> done;
    for (auto &[shard, replay] : m_replays) {
        for (const journal::Record &record : replay->reader.take()) {
            const std::uint64_t previous = std::stoull(record.program_opened().team());
            replay->isLinked =
                replay->isLinked && previous == (replay->chain.empty() ? 0 : replay->chain.back());
            replay->chain.push_back(std::stoull(record.program_opened().program_id()));
        }
        for (const auto &[failed, error] : replay->reader.failures()) {
            m_observer.failed(shard, replay->epoch, error.message());
        }
        if (replay->reader.isDone()) {
            done.push_back(shard);
        }
    }
    for (const ShardId shard : done) {
        Replay &replay = *m_replays.at(shard);
        const bool isReadable = replay.reader.failures().empty();
        if (isReadable && m_claimer.ownedEpoch(shard) == replay.epoch) {
            m_observer.activated(shard, replay.epoch, replay.chain, replay.isLinked);
            m_serving[shard] = Serving{replay.epoch, std::move(replay.chain), 0};
        }
        m_replays.erase(shard);
    }
}

void SimProcess::reportDurable()
{
    while (!m_unconfirmed.empty() && m_unconfirmed.front().ticket <= m_writer.durableTicket()) {
        const Unconfirmed &first = m_unconfirmed.front();
        m_observer.durable(first.shard, first.epoch, first.number);
        m_unconfirmed.pop_front();
    }
}

void SimProcess::stopServing(ShardId shard)
{
    m_serving.erase(shard);
    m_replays.erase(shard);
}

journal::Record SimProcess::makeRecord(ShardId shard, std::uint64_t number,
                                       std::uint64_t previous) const
{
    journal::Record result;
    result.set_shard(shard);
    result.mutable_program_opened()->set_program_id(std::to_string(number));
    result.mutable_program_opened()->set_team(std::to_string(previous));
    return result;
}

std::vector<ShardId> SimProcess::servedShards() const
{
    std::vector<ShardId> shards;
    for (const auto &[shard, serving] : m_serving) {
        if (m_claimer.ownedEpoch(shard) == serving.epoch) {
            shards.push_back(shard);
        }
    }
    return shards;
}

bool SimProcess::append(std::uint64_t random, std::uint64_t number, Instant now)
{
    const auto shards = servedShards();
    if (shards.empty()) {
        return false;
    }
    const ShardId shard = shards[random % shards.size()];
    Serving &serving = m_serving.at(shard);
    const std::uint64_t previous = serving.chain.empty() ? 0 : serving.chain.back();
    const auto ticket = m_writer.append(makeRecord(shard, number, previous), now);
    if (!ticket) {
        return false;
    }
    serving.chain.push_back(number);
    serving.lastTicket = ticket.value();
    m_unconfirmed.push_back({ticket.value(), shard, serving.epoch, number});
    return true;
}

void SimProcess::handOver(std::uint64_t random)
{
    const auto shards = servedShards();
    if (shards.empty()) {
        return;
    }
    const ShardId shard = shards[random % shards.size()];
    const bool waits = m_mutation != Mutation::ReleaseBeforeDurable;
    m_claimer.release(shard, waits ? m_serving.at(shard).lastTicket : 0);
    stopServing(shard);
}

void SimProcess::rebalance()
{
    for (const ShardId shard : m_claimer.handovers()) {
        const auto found = m_serving.find(shard);
        m_claimer.release(shard, found == m_serving.end() ? 0 : found->second.lastTicket);
        stopServing(shard);
    }
}

void SimProcess::checkpoint(std::uint64_t random)
{
    const auto shards = servedShards();
    if (shards.empty() || m_checkpointer) {
        return;
    }
    const ShardId shard = shards[random % shards.size()];
    std::deque<journal::Record> records;
    std::uint64_t previous = 0;
    for (const std::uint64_t number : m_serving.at(shard).chain) {
        records.push_back(makeRecord(shard, number, previous));
        previous = number;
    }
    const journal::BatchNumber covered =
        m_writer.closeBatch() + (m_mutation == Mutation::CheckpointCoversLaterBatch ? 1 : 0);
    const auto source = [records]() mutable -> std::optional<journal::Record> {
        if (records.empty()) {
            return std::nullopt;
        }
        journal::Record first = std::move(records.front());
        records.pop_front();
        return first;
    };
    m_checkpointer =
        std::make_unique<Checkpointer>(shard, covered, source, m_claimer, m_writer, m_table, m_ids);
}

void SimProcess::setHosts(const std::vector<membership::EntryHost> &hosts, bool leaving)
{
    m_claimer.setHosts(hosts, leaving);
}

membership::EntryHost SimProcess::entry(membership::HostState state) const
{
    return {m_host, m_writer.incarnation(), kAddress, state};
}

} // namespace basilhall::ownership::testing
