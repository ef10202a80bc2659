#include "basilhall/ownership/rendezvous.h"
#include "basilhall/ownership/shard_id.h"
#include "basilhall/ownership/shard_states.h"
#include "basilhall/ownership/shard_table.h"
#include "basilhall/ownership/shard_table_reader.h"
#include "basilhall/ownership/shard_update.h"

#include "basilhall/store/memory_store.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace basilhall;
using namespace basilhall::ownership;

namespace
{

const ShardOwner kOwner{Incarnation("aa"), HostName("entry-1"), {"127.0.0.1", 7000}, 0};
const Instant kStart = Instant(std::chrono::hours(1));
const store::Outcome kLost = Error(ErrorKind::StoreUnavailable, "timed out");

std::vector<HostName> hosts(int count)
{
    std::vector<HostName> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        names.emplace_back("entry-" + std::to_string(i));
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_SUITE(shard_hashing)

BOOST_AUTO_TEST_CASE(subAgentsAreInTheShardOfTheirRoot)
{
    const ShardId root = shardOf(ProgramId("p1"), 64);
    BOOST_TEST(shardOf(ProgramId("p1.a"), 64) == root);
    BOOST_TEST(shardOf(ProgramId("p1.a.7"), 64) == root);
    // The hash is part of the storage format: with another hash no stored program would be found.
    BOOST_TEST(root == 60);
    BOOST_TEST(shardOf(TeamName("haulers"), 64) == 58);
}

BOOST_AUTO_TEST_CASE(shardsAreSpreadEvenlyAndMoveOnlyIfTheirHostLeaves)
{
    constexpr ShardId kShards = 1020;
    const auto before = hosts(340);
    auto after = before;
    after.pop_back();
    std::map<HostName, int> load;
    for (ShardId shard = 0; shard < kShards; ++shard) {
        const RendezvousPick old = rendezvousPick(shard, before);
        const RendezvousPick now = rendezvousPick(shard, after);
        ++load[*old.first];
        BOOST_TEST(((old.first == before.back() ? old.second : old.first) == now.first));
    }
    const auto most = std::max_element(
        load.begin(), load.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    BOOST_TEST(most->second <= 12);
    BOOST_TEST(!rendezvousPick(0, {}).first.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(shard_objects)

BOOST_AUTO_TEST_CASE(damagedObjectsDoNotReplaceTheLastValidState)
{
    ShardTable table(8);
    const ShardState good = claimedState(initialState(3), kOwner, 1, 0);
    const std::string data = encodeShard(good);
    BOOST_TEST(table.apply({shardKey(3), "1", data}).has_value());

    ShardState newer = good;
    newer.set_format_version(99);
    ShardState ownerless = good;
    ownerless.clear_owner_incarnation();
    ShardState backwards = good;
    backwards.mutable_ranges(0)->set_last_number(5);
    backwards.mutable_ranges(0)->set_first_number(9);
    for (const std::string &bad : {std::string(), data.substr(1), data + "x", encodeShard(newer),
                                   encodeShard(ownerless), encodeShard(backwards)}) {
        const auto applied = table.apply({shardKey(3), "2", bad});
        BOOST_REQUIRE(!applied);
        BOOST_TEST((applied.error().kind() == ErrorKind::Corrupt));
        BOOST_TEST(applied.error().message().find("shards/3") != std::string::npos);
        BOOST_TEST(table.faults().contains(3));
        BOOST_TEST((table.owner(3)->incarnation == kOwner.incarnation));
    }
    BOOST_TEST(!table.apply({shardKey(4), "3", data}).has_value());
    BOOST_TEST(!table.apply({{kShardKind, "x"}, "3", data}).has_value());
    BOOST_TEST(!table.apply({shardKey(8), "3", data}).has_value());
    BOOST_TEST(table.apply({shardKey(3), "4", data}).has_value());
    BOOST_TEST(!table.faults().contains(3));
}

BOOST_AUTO_TEST_CASE(anOlderStateIsIgnored)
{
    ShardTable table(8);
    const ShardState first = claimedState(initialState(3), kOwner, 1, 0);
    const ShardState moved = checkpointedState(first, 10, 2);
    const ShardState released = releasedState(moved, 12);
    BOOST_TEST(table.apply({shardKey(3), "3", encodeShard(released)}).has_value());
    BOOST_TEST(table.apply({shardKey(3), "2", encodeShard(moved)}).has_value());
    BOOST_TEST(table.apply({shardKey(3), "1", encodeShard(first)}).has_value());
    BOOST_TEST(!table.owner(3).has_value());
    BOOST_TEST(table.find(3)->state.ranges(0).first_number() == 11);
    BOOST_TEST(table.find(3)->state.ranges(0).last_number() == 12);
}

BOOST_AUTO_TEST_CASE(anEmptyRangeIsDropped)
{
    const ShardState first = claimedState(initialState(3), kOwner, 5, 0);
    BOOST_TEST(releasedState(first, 4).ranges_size() == 0);
    ShardOwner next = kOwner;
    next.incarnation = Incarnation("bb");
    const ShardState taken = claimedState(first, next, 1, 7);
    BOOST_REQUIRE_EQUAL(taken.ranges_size(), 2);
    BOOST_TEST(taken.ranges(0).last_number() == 7);
    BOOST_TEST(taken.epoch() == 2);
}

BOOST_AUTO_TEST_CASE(anUpdateWithALostAnswerIsResolvedByReading)
{
    store::MemoryStore memory;
    store::OperationIdSource ids;
    const ShardState state = claimedState(initialState(3), kOwner, 1, 0);
    for (const bool effective : {true, false}) {
        memory = store::MemoryStore();
        ShardUpdate update(state, std::nullopt, ids);
        const auto first = update.advance(kStart);
        if (effective) {
            (void)memory.apply(first.front().request);
        } else {
            ShardOwner other = kOwner;
            other.incarnation = Incarnation("bb");
            (void)memory.apply(store::Create{
                shardKey(3), encodeShard(claimedState(initialState(3), other, 1, 0))});
        }
        update.onOutcome(first.front().id, kLost, kStart);
        BOOST_TEST(update.advance(kStart).empty());
        const Instant now = *update.nextWake();
        while (update.result() == ShardUpdate::Result::Pending) {
            const auto next = update.advance(now);
            BOOST_REQUIRE_EQUAL(next.size(), 1);
            update.onOutcome(next.front().id, memory.apply(next.front().request), now);
        }
        BOOST_TEST((update.result() == ShardUpdate::Result::Applied) == effective);
        BOOST_TEST(update.current()->version == "1");
    }
}

BOOST_AUTO_TEST_CASE(theReaderListsAllShardsAndReadsOneOnDemand)
{
    store::MemoryStore memory;
    store::OperationIdSource ids;
    ShardTable table(8);
    ShardTableReader reader(table, ids);
    Instant now = kStart;
    const auto lost = reader.advance(now);
    reader.onOutcome(lost.front().id, kLost, now);
    BOOST_TEST(!table.isComplete());
    now = *reader.nextWake();
    const auto list = reader.advance(now);
    BOOST_REQUIRE_EQUAL(list.size(), 1);
    reader.onOutcome(list.front().id, memory.apply(list.front().request), now);
    BOOST_TEST(table.isComplete());
    (void)memory.apply(
        store::Create{shardKey(3), encodeShard(claimedState(initialState(3), kOwner, 1, 0))});
    reader.refresh(3);
    reader.refresh(3);
    const auto read = reader.advance(now);
    BOOST_REQUIRE_EQUAL(read.size(), 1);
    reader.onOutcome(read.front().id, memory.apply(read.front().request), now);
    BOOST_TEST((table.owner(3)->host == kOwner.host));
    BOOST_TEST((table.owner(3)->address == kOwner.address));
}

BOOST_AUTO_TEST_SUITE_END()
