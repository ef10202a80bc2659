#include "basilhall/ownership/checkpointer.h"

#include "basilhall/ownership/checkpoint_policy.h"
#include "basilhall/ownership/obsolete_objects.h"
#include "basilhall/ownership/snapshot.h"
#include "basilhall/ownership/testing/host_fixture.h"

using namespace basilhall;
using namespace basilhall::ownership;
using namespace basilhall::ownership::testing;
using journal::Record;

namespace
{

Record snapshotRecord(ShardId shard, const std::string &program, std::size_t bytes = 0)
{
    Record record;
    record.set_shard(shard);
    record.mutable_program_opened()->set_program_id(program);
    record.mutable_program_opened()->set_team(std::string(bytes, 't'));
    return record;
}

struct Fixture : HostFixture {
    SnapshotSource source(std::vector<Record> records)
    {
        auto next = std::make_shared<std::size_t>(0);
        return [records = std::move(records), next]() -> std::optional<Record> {
            return *next < records.size() ? std::optional(records[(*next)++]) : std::nullopt;
        };
    }

    // Runs host `a` and its checkpointer until the checkpointer is finished.
    Checkpointer::Phase runCheckpoint(Checkpointer &checkpointer)
    {
        while (!checkpointer.isFinished()) {
            run(a);
            step(checkpointer);
        }
        return checkpointer.phase();
    }

    std::size_t countObjects(const std::string &kind) const
    {
        return static_cast<std::size_t>(
            std::count_if(memory.objects().begin(), memory.objects().end(),
                          [&kind](const auto &item) { return item.first.kind == kind; }));
    }

    std::vector<std::string> takeOverShard(ShardId shard)
    {
        b.claimer.setHosts({a.entry(HostState::Dead)}, false);
        run(b);
        std::vector<ShardState> states = b.claimer.takeClaimed();
        std::erase_if(states, [shard](const auto &state) { return state.shard() != shard; });
        return replay(b, states);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(checkpointer, Fixture)

BOOST_AUTO_TEST_CASE(aCheckpointReplacesTheBatchesBeforeIt)
{
    claimAllShardsOnA();
    Checkpointer checkpointer(
        2, a.writer.closeBatch(),
        source({snapshotRecord(2, "p2", 400000), snapshotRecord(2, "q", 400000)}), a.claimer,
        a.writer, a.table, a.ids);
    append(a, 2, "later");
    BOOST_TEST((runCheckpoint(checkpointer) == Checkpointer::Phase::Done));
    BOOST_TEST(checkpointer.parts() == 2);
    BOOST_TEST((takeOverShard(2) == std::vector<std::string>{"later", "p2", "q"}));
}

BOOST_AUTO_TEST_CASE(batchesAreRemovedOnceNoShardNeedsThem)
{
    claimAllShardsOnA();
    for (ShardId shard = 0; shard < kShards; ++shard) {
        BOOST_TEST(countObjects(journal::kJournalKind) == 1);
        Checkpointer checkpointer(shard, a.writer.closeBatch(),
                                  source({snapshotRecord(shard, "p")}), a.claimer, a.writer,
                                  a.table, a.ids);
        BOOST_TEST((runCheckpoint(checkpointer) == Checkpointer::Phase::Done));
    }
    BOOST_TEST(countObjects(journal::kJournalKind) == 0);
    append(a, 0, "q");
    run(a);
    Checkpointer second(0, a.writer.closeBatch(), source({snapshotRecord(0, "r")}), a.claimer,
                        a.writer, a.table, a.ids);
    BOOST_TEST((runCheckpoint(second) == Checkpointer::Phase::Done));
    BOOST_TEST(countObjects(journal::kCheckpointKind) == kShards);
    BOOST_TEST((takeOverShard(0) == std::vector<std::string>{"r"}));
}

BOOST_AUTO_TEST_CASE(removalsAreRateLimited)
{
    claimAllShardsOnA();
    for (int i = 0; i < 10; ++i) {
        append(a, 0, "q" + std::to_string(i));
        run(a);
    }
    for (ShardId shard = 1; shard < kShards; ++shard) {
        a.claimer.moveCheckpoint(shard, a.writer.durableNumber(), 0);
    }
    run(a);
    Checkpointer checkpointer(0, a.writer.closeBatch(), source({snapshotRecord(0, "p")}), a.claimer,
                              a.writer, a.table, a.ids);
    while (checkpointer.phase() != Checkpointer::Phase::Removing) {
        run(a);
        step(checkpointer);
    }
    const std::uint64_t writes = memory.writes();
    const Instant begin = now;
    while (!checkpointer.isFinished()) {
        BOOST_TEST(step(checkpointer));
        BOOST_TEST(!step(checkpointer));
        now = checkpointer.nextWake().value_or(now);
    }
    BOOST_TEST(memory.writes() == writes + 11);
    BOOST_TEST((now - begin == a.writer.flushInterval() / Checkpointer::kRemovalsPerFlush * 10));
}

BOOST_AUTO_TEST_CASE(aCheckpointCompletesAlthoughAnswersAreLost)
{
    claimAllShardsOnA();
    Checkpointer checkpointer(2, a.writer.closeBatch(), source({snapshotRecord(2, "p2")}),
                              a.claimer, a.writer, a.table, a.ids);
    int lost = 0;
    while (!checkpointer.isFinished()) {
        run(a);
        const auto operations = checkpointer.advance(now);
        for (const auto &operation : operations) {
            (void)memory.apply(operation.request);
            checkpointer.onOutcome(operation.id, Error(ErrorKind::StoreUnavailable, "lost"), now);
            now += std::chrono::seconds(5);
            ++lost;
        }
        step(checkpointer);
    }
    BOOST_TEST(lost >= 2);
    BOOST_TEST((checkpointer.phase() == Checkpointer::Phase::Done));
    BOOST_TEST((takeOverShard(2) == std::vector<std::string>{"p2"}));
}

BOOST_AUTO_TEST_CASE(aSealedOwnerCannotMoveTheCheckpoint)
{
    claimAllShardsOnA();
    Checkpointer checkpointer(2, a.writer.closeBatch(), source({snapshotRecord(2, "wrong")}),
                              a.claimer, a.writer, a.table, a.ids);
    step(checkpointer);
    step(checkpointer);
    BOOST_TEST((takeOverShard(2) == std::vector<std::string>{"p2"}));
    BOOST_TEST((runCheckpoint(checkpointer) == Checkpointer::Phase::Failed));
    Host c("entry-c", "cc");
    c.claimer.setHosts({b.entry(HostState::Dead)}, false);
    run(c);
    BOOST_TEST(replay(c, c.claimer.takeClaimed()).size() == kShards);
}

BOOST_AUTO_TEST_CASE(batchesOfAPendingClaimAreKept)
{
    const ShardState before = claimedState(initialState(1), {Incarnation("aa"), {}, {}, 0}, 1, 0);
    const ShardState after = checkpointedState(before, 10, 1);
    BOOST_TEST(obsoleteObjects(before, after, {after}, std::nullopt).size() == 10);
    BOOST_TEST(obsoleteObjects(before, after, {after}, PendingClaim{Incarnation("aa"), 4}).size()
               == 3);
    BOOST_TEST(obsoleteObjects(before, after, {after}, PendingClaim{Incarnation("bb"), 4}).size()
               == 10);
}

BOOST_AUTO_TEST_CASE(aLargeHistoryIsSplitAndKeepsItsOrder)
{
    journal::ProgramSnapshot snapshot;
    snapshot.set_program_id("p");
    snapshot.mutable_opened()->set_program_id("p");
    for (std::uint64_t turn = 1; turn <= 370; ++turn) {
        journal::TurnSettled *settled = snapshot.add_turns();
        settled->set_turn(turn);
        settled->set_body(std::string(8000, 'x'));
    }
    snapshot.mutable_ended()->set_reason("done");
    const auto records = splitSnapshot(1, 7, snapshot);
    BOOST_TEST(records.size() == 5);
    std::uint64_t turn = 0;
    for (const Record &record : records) {
        BOOST_TEST(journal::encodedBytes(record) <= journal::kMaxBatchBytes);
        BOOST_TEST(record.program_snapshot().has_opened() == (&record == &records.front()));
        BOOST_TEST(record.program_snapshot().has_ended() == (&record == &records.back()));
        for (const auto &settled : record.program_snapshot().turns()) {
            BOOST_TEST(settled.turn() == ++turn);
        }
    }
    BOOST_TEST(turn == 370);
}

BOOST_AUTO_TEST_CASE(aCheckpointIsDueByBatchesOrBytes)
{
    BOOST_TEST(!isCheckpointDue({10, 1000}, 0));
    BOOST_TEST(isCheckpointDue({kMaxReplayBatches, 1000}, 0));
    BOOST_TEST(isCheckpointDue({1, kMinReplayBytes}, 0));
    BOOST_TEST(!isCheckpointDue({1, kMinReplayBytes}, kMinReplayBytes + 1));
}

BOOST_AUTO_TEST_SUITE_END()
