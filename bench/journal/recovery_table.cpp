#include "bench/journal/tables.h"

#include "basilhall/journal/reader.h"
#include "basilhall/ownership/checkpoint_policy.h"
#include "basilhall/ownership/checkpointer.h"
#include "basilhall/ownership/shard_table_reader.h"
#include "basilhall/store/memory_store.h"

#include <chrono>
#include <iomanip>
#include <map>
#include <vector>

namespace basilhall::bench
{

namespace
{

using ownership::ShardId;

constexpr std::uint32_t kShards = 3;
constexpr std::size_t kProgramsPerShard = 100;
constexpr std::size_t kRecordsPerBatch = 30;
constexpr std::size_t kRecordBytes = 1024;
// Turns after which a program ends and another takes its place.
constexpr std::size_t kTurnsPerProgram = 20;
constexpr Duration kApiLatency = std::chrono::milliseconds(5);

// One entry host over an object API that answers each round of requests after kApiLatency.
class Host
{
public:
    Host(const std::string &name, store::MemoryStore &memory)
        : m_memory(memory)
        , writer(Incarnation(name), ids, {})
        , table(kShards)
        , tableReader(table, ids)
        , claimer(HostName(name), {"127.0.0.1", 7000}, writer, table, ids)
    {
    }

    // Runs a machine until it asks for nothing more; returns the number of rounds.
    template<typename Machine>
    std::size_t run(Machine &machine)
    {
        std::size_t rounds = 0;
        for (auto operations = machine.advance(now); !operations.empty();
             operations = machine.advance(now)) {
            now += kApiLatency;
            ++rounds;
            for (const auto &operation : operations) {
                machine.onOutcome(operation.id, m_memory.apply(operation.request), now);
            }
        }
        return rounds;
    }

    void claim(const std::vector<membership::EntryHost> &hosts)
    {
        claimer.setHosts(hosts, false);
        tableReader.refreshAll();
        run(tableReader);
        run(claimer);
    }

private:
    store::MemoryStore &m_memory;

public:
    store::OperationIdSource ids;
    journal::Writer writer;
    ownership::ShardTable table;
    ownership::ShardTableReader tableReader;
    ownership::Claimer claimer;
    Instant now = Instant(std::chrono::hours(1));
};

journal::Record turn(ShardId shard, std::size_t program)
{
    journal::Record record;
    record.set_shard(shard);
    record.mutable_turn_settled()->set_program_id("p" + std::to_string(program));
    record.mutable_turn_settled()->set_body(std::string(kRecordBytes, 'x'));
    return record;
}

// The turns that each program of a shard has, as an owner keeps them.
struct ShardContent {
    std::map<std::size_t, std::size_t> turns;
    ownership::ReplayCost cost;

    std::uint64_t bytes() const
    {
        std::uint64_t total = 0;
        for (const auto &[program, count] : turns) {
            total += count * kRecordBytes;
        }
        return total;
    }
};

struct Costs {
    std::size_t checkpoints = 0;
    std::size_t checkpointWrites = 0;
};

void checkpoint(Host &host, ShardId shard, ShardContent &content, Costs &costs,
                const store::MemoryStore &memory)
{
    auto next = content.turns.begin();
    std::size_t turnsLeft = next == content.turns.end() ? 0 : next->second;
    const auto end = content.turns.end();
    const auto source = [=]() mutable -> std::optional<journal::Record> {
        while (next != end && turnsLeft == 0) {
            ++next;
            turnsLeft = next == end ? 0 : next->second;
        }
        if (next == end) {
            return std::nullopt;
        }
        --turnsLeft;
        return turn(shard, next->first);
    };
    const std::uint64_t before = memory.writes();
    ownership::Checkpointer checkpointer(shard, host.writer.closeBatch(), source, host.claimer,
                                         host.writer, host.table, host.ids);
    while (!checkpointer.isFinished()) {
        host.run(checkpointer);
        host.run(host.claimer);
        host.now += host.writer.flushInterval();
    }
    ++costs.checkpoints;
    costs.checkpointWrites += memory.writes() - before;
    content.cost = {};
}

// Writes `batches` batches of turns, with checkpoints if asked for.
Costs writeHistory(Host &host, std::size_t batches, bool withCheckpoints,
                   const store::MemoryStore &memory)
{
    Costs costs;
    std::vector<ShardContent> shards(kShards);
    std::size_t number = 0;
    for (std::size_t batch = 0; batch < batches; ++batch) {
        for (std::size_t i = 0; i < kRecordsPerBatch; ++i, ++number) {
            const auto shard = static_cast<ShardId>(number % kShards);
            const std::size_t slot = number / kShards;
            const std::size_t program = slot % kProgramsPerShard
                + slot / (kProgramsPerShard * kTurnsPerProgram) * kProgramsPerShard;
            ShardContent &content = shards[shard];
            (void)host.writer.append(turn(shard, program), host.now);
            ++content.turns[program];
            content.cost.bytes += kRecordBytes;
            if (program >= kProgramsPerShard) {
                content.turns.erase(program - kProgramsPerShard);
            }
        }
        host.now += std::chrono::seconds(1);
        host.run(host.writer);
        for (ShardId shard = 0; shard < kShards && withCheckpoints; ++shard) {
            ++shards[shard].cost.batches;
            if (ownership::isCheckpointDue(shards[shard].cost, shards[shard].bytes())) {
                checkpoint(host, shard, shards[shard], costs, memory);
            }
        }
    }
    return costs;
}

void measure(std::ostream &out, std::size_t batches, bool withCheckpoints)
{
    store::MemoryStore memory;
    Host dead("dead", memory);
    dead.claim({});
    const Costs costs = writeHistory(dead, batches, withCheckpoints, memory);

    Host successor("successor", memory);
    const std::uint64_t readsBefore = memory.reads();
    const std::uint64_t writesBefore = memory.writes();
    const Instant begin = successor.now;
    const auto cpuBegin = std::chrono::steady_clock::now();
    successor.claim({{HostName("dead"), {}, {}, membership::HostState::Dead}});
    journal::Reader reader(successor.claimer.takeClaimed(), successor.ids, {});
    std::size_t records = 0;
    while (!reader.isDone()) {
        successor.run(reader);
        records += reader.take().size();
    }
    const std::chrono::duration<double, std::milli> cpu =
        std::chrono::steady_clock::now() - cpuBegin;
    const std::chrono::duration<double, std::milli> elapsed = successor.now - begin;
    out << std::fixed << std::setprecision(1) << std::setw(8) << batches << std::setw(13)
        << (withCheckpoints ? "yes" : "no") << std::setw(9) << memory.reads() - readsBefore
        << std::setw(8) << memory.writes() - writesBefore << std::setw(10) << records
        << std::setw(11) << elapsed.count() << std::setw(9) << cpu.count() << std::setw(9)
        << memory.objects().size() << std::setw(13) << costs.checkpoints << std::setw(9)
        << costs.checkpointWrites << "\n";
}

} // namespace

void printRecoveryTable(std::ostream &out)
{
    out << "Takeover of a host with " << kShards << " shards of " << kProgramsPerShard
        << " programs under way, batches of " << kRecordsPerBatch
        << " records of 1 KB, API answers in 5 ms, 8 reads at once\n"
        << " batches  checkpoints    reads  writes   records  elapsed ms   CPU ms  objects"
           "  checkpoints   writes\n";
    for (const bool withCheckpoints : {false, true}) {
        for (const std::size_t batches : {10, 100, 1000, 10000}) {
            measure(out, batches, withCheckpoints);
        }
    }
}

} // namespace basilhall::bench
