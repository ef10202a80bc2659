#include "basilhall/journal/checkpoint_codec.h"
#include "basilhall/journal/reader.h"
#include "basilhall/journal/sealer.h"
#include "basilhall/journal/writer.h"

#include "basilhall/store/memory_store.h"

#include <boost/test/unit_test.hpp>

using namespace basilhall;
using namespace basilhall::journal;

namespace
{

const Incarnation kDead("aa");
const Incarnation kSelf("bb");
const Instant kStart = Instant(std::chrono::hours(1));

Record record(std::uint32_t shard, const std::string &program)
{
    Record result;
    result.set_shard(shard);
    result.mutable_program_opened()->set_program_id(program);
    return result;
}

struct Fixture {
    store::MemoryStore memory;
    store::OperationIdSource ids;
    Instant now = kStart;

    // Executes the operations of a writer, reader or sealer until it has none at the current time.
    template<typename StateMachine>
    void run(StateMachine &machine)
    {
        for (auto operations = machine.advance(now); !operations.empty();
             operations = machine.advance(now)) {
            for (const auto &operation : operations) {
                machine.onOutcome(operation.id, memory.apply(operation.request), now);
            }
        }
    }

    // Writes one batch for each inner list.
    void write(const Incarnation &owner, const std::vector<std::vector<Record>> &batches)
    {
        Writer writer(owner, ids, {});
        for (const auto &records : batches) {
            for (const Record &entry : records) {
                BOOST_REQUIRE(writer.append(entry, now).has_value());
            }
            writer.closeBatch();
            run(writer);
            now += std::chrono::seconds(1);
        }
        BOOST_REQUIRE_EQUAL(writer.durableNumber(), batches.size());
    }

    std::vector<std::string> programs(Reader &reader)
    {
        std::vector<std::string> ids;
        while (!reader.isDone()) {
            run(reader);
            for (const Record &entry : reader.take()) {
                ids.push_back(entry.program_opened().program_id());
            }
        }
        return ids;
    }
};

ShardState state(std::uint32_t shard, std::uint64_t first, std::uint64_t last)
{
    ShardState result;
    result.set_shard(shard);
    JournalRange *range = result.add_ranges();
    range->set_incarnation(kDead.value());
    range->set_first_number(first);
    range->set_last_number(last);
    result.add_ranges()->set_incarnation(kSelf.value());
    return result;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(journal_sealer, Fixture)

BOOST_AUTO_TEST_CASE(endIsFoundInLogarithmicReads)
{
    for (const std::size_t length : {0, 1, 2, 3, 7, 8, 100, 1000}) {
        memory = store::MemoryStore();
        write(kDead, std::vector<std::vector<Record>>(length, {record(1, "p")}));
        Sealer sealer(kDead, 1, kSelf, ids);
        run(sealer);
        BOOST_TEST(sealer.lastNumber().value() == length);
        BOOST_TEST(memory.reads() <= 22);
        BOOST_TEST(memory.objects().contains(batchKey(kDead, length + 1)));
    }
}

BOOST_AUTO_TEST_CASE(existingSealIsAccepted)
{
    write(kDead, {{record(1, "p")}, {record(1, "q")}});
    Sealer first(kDead, 1, kSelf, ids);
    run(first);
    const auto writes = memory.writes();
    for (std::uint64_t start = 1; start <= 3; ++start) {
        Sealer second(kDead, start, Incarnation("cc"), ids);
        run(second);
        BOOST_TEST(second.lastNumber().value() == 2);
    }
    BOOST_TEST(memory.writes() == writes);
}

BOOST_AUTO_TEST_CASE(batchCreatedBeforeTheSealBelongsToTheJournal)
{
    Sealer sealer(kDead, 1, kSelf, ids);
    const auto probe = sealer.advance(now);
    sealer.onOutcome(probe.front().id, memory.apply(probe.front().request), now);
    const auto create = sealer.advance(now);
    write(kDead, {{record(1, "p")}});
    sealer.onOutcome(create.front().id, memory.apply(create.front().request), now);
    run(sealer);
    BOOST_TEST(sealer.lastNumber().value() == 1);
}

BOOST_AUTO_TEST_CASE(lostResponseToTheSealIsResolvedByReading)
{
    Sealer sealer(kDead, 1, kSelf, ids);
    const auto probe = sealer.advance(now);
    sealer.onOutcome(probe.front().id, memory.apply(probe.front().request), now);
    const auto create = sealer.advance(now);
    (void)memory.apply(create.front().request);
    sealer.onOutcome(create.front().id, Error(ErrorKind::StoreUnavailable, "lost"), now);
    BOOST_TEST(!sealer.lastNumber().has_value());
    now = *sealer.nextWake();
    run(sealer);
    BOOST_TEST(sealer.lastNumber().value() == 0);
}

BOOST_AUTO_TEST_CASE(damagedBatchDoesNotPreventTheSeal)
{
    write(kDead, {{record(1, "p")}, {record(1, "q")}, {record(1, "r")}});
    (void)memory.apply(store::Remove{batchKey(kDead, 2)});
    (void)memory.apply(store::Create{batchKey(kDead, 2), "edited"});
    Sealer sealer(kDead, 1, kSelf, ids);
    run(sealer);
    BOOST_TEST(sealer.lastNumber().value() == 3);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(journal_reader, Fixture)

BOOST_AUTO_TEST_CASE(sharedBatchesAreReadOnceAndInOrder)
{
    std::vector<std::vector<Record>> batches;
    for (int i = 1; i <= 30; ++i) {
        batches.push_back({record(1, "a" + std::to_string(i)), record(2, "b" + std::to_string(i)),
                           record(3, "other")});
    }
    write(kDead, batches);
    Reader reader({state(1, 1, 30), state(2, 11, 30)}, ids, {});
    std::vector<std::string> first;
    std::vector<std::string> second;
    for (const std::string &program : programs(reader)) {
        (program.front() == 'a' ? first : second).push_back(program);
    }
    BOOST_REQUIRE_EQUAL(first.size(), 30);
    BOOST_REQUIRE_EQUAL(second.size(), 20);
    for (std::size_t i = 0; i < first.size(); ++i) {
        BOOST_TEST(first[i] == "a" + std::to_string(i + 1));
    }
    BOOST_TEST(second.front() == "b11");
    BOOST_TEST(reader.reads() == 30);
}

BOOST_AUTO_TEST_CASE(recordsAreDeliveredInOrderDespiteOutOfOrderOutcomes)
{
    write(kDead, {{record(1, "a")}, {record(1, "b")}, {record(1, "c")}});
    Reader reader({state(1, 1, 3)}, ids, {});
    const auto operations = reader.advance(now);
    BOOST_REQUIRE_EQUAL(operations.size(), 3);
    reader.onOutcome(operations[2].id, memory.apply(operations[2].request), now);
    reader.onOutcome(operations[1].id, Error(ErrorKind::StoreUnavailable, "down"), now);
    BOOST_TEST(reader.take().empty());
    reader.onOutcome(operations[0].id, memory.apply(operations[0].request), now);
    BOOST_TEST(reader.take().size() == 1);
    now = *reader.nextWake();
    BOOST_TEST((programs(reader) == std::vector<std::string>{"b", "c"}));
}

BOOST_AUTO_TEST_CASE(checkpointIsReadBeforeTheRanges)
{
    write(kDead, {{record(1, "x")}, {record(1, "c")}});
    for (std::uint32_t part = 0; part < 2; ++part) {
        CheckpointPart content = makeCheckpointPart({1, 4, 1, part});
        *content.add_records() = record(1, part == 0 ? "a" : "b");
        (void)memory.apply(
            store::Create{checkpointKey({1, 4, 1, part}), encodeCheckpointPart(content)});
    }
    ShardState checkpointed = state(1, 2, 2);
    checkpointed.set_checkpoint_epoch(4);
    checkpointed.set_checkpoint_number(1);
    checkpointed.set_checkpoint_parts(2);
    Reader reader({checkpointed}, ids, {});
    BOOST_TEST((programs(reader) == std::vector<std::string>{"a", "b", "c"}));
}

BOOST_AUTO_TEST_CASE(missingOrDamagedObjectFailsOnlyItsShards)
{
    write(kDead, {{record(1, "a"), record(2, "b")}, {record(1, "c"), record(2, "d")}});
    const store::ObjectKey key = batchKey(kDead, 1);
    for (const bool missing : {true, false}) {
        (void)memory.apply(store::Remove{key});
        if (!missing) {
            (void)memory.apply(store::Create{key, "edited"});
        }
        Reader reader({state(1, 1, 2), state(2, 2, 2)}, ids, {});
        BOOST_TEST((programs(reader) == std::vector<std::string>{"d"}));
        BOOST_TEST(reader.failures().size() == 1);
        BOOST_TEST(reader.failures().at(1).message().find(key.name) != std::string::npos);
        BOOST_TEST((reader.failures().at(1).kind() == ErrorKind::Corrupt));
    }
}

BOOST_AUTO_TEST_CASE(readsAreBoundedWhileNoRecordIsTaken)
{
    write(kDead, std::vector<std::vector<Record>>(50, {record(1, std::string(1000, 'p'))}));
    ReaderOptions options;
    options.maxReadyBytes = 5000;
    Reader reader({state(1, 1, 50)}, ids, options);
    run(reader);
    BOOST_TEST(reader.reads() <= 5 + options.maxParallelReads);
    BOOST_TEST(programs(reader).size() == 50);
}

BOOST_AUTO_TEST_SUITE_END()
