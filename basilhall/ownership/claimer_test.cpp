#include "basilhall/ownership/testing/host_fixture.h"

using namespace basilhall;
using namespace basilhall::ownership;
using namespace basilhall::ownership::testing;

BOOST_FIXTURE_TEST_SUITE(claimer, HostFixture)

BOOST_AUTO_TEST_CASE(twoHostsShareTheShards)
{
    a.claimer.setHosts({b.entry()}, false);
    b.claimer.setHosts({a.entry()}, false);
    run(a);
    run(b);
    run(a);
    BOOST_TEST(a.claimer.ownedShards().size() + b.claimer.ownedShards().size() == kShards);
    BOOST_TEST(a.claimer.ownedShards().size() > 2);
    BOOST_TEST(b.claimer.ownedShards().size() > 2);
    BOOST_TEST(a.claimer.handovers().empty());
    BOOST_TEST(a.table.owner(b.claimer.ownedShards().front())->host == b.name);
    BOOST_TEST((a.claimer.watchedOwners() == std::vector<HostName>{b.name}));
}

BOOST_AUTO_TEST_CASE(theShardsOfADeadHostAreSealedClaimedAndReplayed)
{
    claimAllShardsOnA();
    b.claimer.setHosts({a.entry(HostState::Suspect)}, false);
    run(b);
    BOOST_TEST(b.claimer.ownedShards().empty());
    b.claimer.setHosts({a.entry(HostState::Dead)}, false);
    run(b);
    const auto claimed = b.claimer.takeClaimed();
    BOOST_REQUIRE_EQUAL(claimed.size(), kShards);
    BOOST_TEST(replay(b, claimed).size() == kShards);
    BOOST_TEST(claimed.front().epoch() == 2);

    // What the old owner writes after the takeover never becomes durable.
    const auto ticket = append(a, 0, "late");
    run(a);
    BOOST_TEST(a.writer.isSealed());
    BOOST_TEST(a.writer.durableTicket() < ticket);
    BOOST_TEST(a.claimer.ownedShards().empty());
    BOOST_TEST(a.claimer.takeLost().size() == kShards);
}

BOOST_AUTO_TEST_CASE(aRestartedHostClaimsItsFormerShards)
{
    claimAllShardsOnA();
    Host again("entry-a", "a2");
    again.claimer.setHosts({}, false);
    run(again);
    BOOST_TEST(replay(again, again.claimer.takeClaimed()).size() == kShards);
}

BOOST_AUTO_TEST_CASE(shardsOfARestartedHostAreClaimedOnlyAfterTheGracePeriod)
{
    claimAllShardsOnA();
    EntryHost restarted = a.entry();
    restarted.incarnation = Incarnation("a2");
    b.claimer.setHosts({restarted}, false);
    run(b);
    BOOST_TEST(b.claimer.ownedShards().empty());
    BOOST_REQUIRE(b.claimer.nextWake().has_value());
    now = *b.claimer.nextWake();
    run(b);
    BOOST_TEST(!b.claimer.ownedShards().empty());
}

BOOST_AUTO_TEST_CASE(aReleaseIsWrittenOnceTheRecordsAreDurable)
{
    claimAllShardsOnA();
    a.claimer.setHosts({b.entry()}, false);
    b.claimer.setHosts({a.entry()}, false);
    const auto leaving = a.claimer.handovers();
    BOOST_REQUIRE_EQUAL(leaving.size(), Claimer::kMaxHandovers);
    const ShardId shard = leaving.front();
    const auto ticket = append(a, shard, "last");
    a.claimer.release(shard, ticket);
    BOOST_TEST(!a.claimer.ownedEpoch(shard).has_value());
    BOOST_TEST(!step(a.claimer));
    run(a);
    run(b);
    const auto claimed = b.claimer.takeClaimed();
    BOOST_REQUIRE_EQUAL(claimed.size(), 1);
    BOOST_TEST(claimed.front().epoch() == 3);
    BOOST_TEST(
        (replay(b, claimed) == std::vector<std::string>{"last", "p" + std::to_string(shard)}));
    BOOST_TEST(!a.writer.isSealed());
    BOOST_TEST(a.claimer.ownedShards().size() == kShards - 1);
}

// An owner that has started to drain a shard refuses work for it, so the handover must complete.
BOOST_AUTO_TEST_CASE(aStartedHandoverContinuesWhenItsTargetDies)
{
    claimAllShardsOnA();
    a.claimer.setHosts({b.entry()}, false);
    const auto begun = a.claimer.handovers();
    BOOST_REQUIRE_EQUAL(begun.size(), Claimer::kMaxHandovers);
    a.claimer.setHosts({b.entry(HostState::Dead)}, false);
    BOOST_TEST((a.claimer.handovers() == begun));
    a.claimer.release(begun.front(), a.writer.lastTicket());
    BOOST_TEST(a.claimer.handovers().size() == begun.size() - 1);
    run(a);
    run(a);
    // No other host is live, so the host claims the shard again.
    BOOST_TEST(a.claimer.ownedEpoch(begun.front()).value() == 3);
    BOOST_TEST(replay(a, a.claimer.takeClaimed()).size() == 1);
}

BOOST_AUTO_TEST_CASE(aLeavingHostHandsEverythingOver)
{
    claimAllShardsOnA();
    a.claimer.setHosts({b.entry()}, true);
    for (const ShardId shard : a.claimer.handovers()) {
        a.claimer.release(shard, a.writer.lastTicket());
    }
    run(a);
    b.claimer.setHosts({a.entry(HostState::Leaving)}, false);
    run(b);
    BOOST_TEST(replay(b, b.claimer.takeClaimed()).size() == kShards);
    BOOST_TEST(a.claimer.ownedShards().empty());
}

BOOST_AUTO_TEST_CASE(aMovedCheckpointSurvivesALostAnswer)
{
    claimAllShardsOnA();
    a.claimer.moveCheckpoint(0, 1, 3);
    const auto update = a.claimer.advance(now);
    BOOST_REQUIRE_EQUAL(update.size(), 1);
    (void)memory.apply(update.front().request);
    a.claimer.onOutcome(update.front().id, Error(ErrorKind::StoreUnavailable, "lost"), now);
    now = *a.claimer.nextWake();
    run(a);
    BOOST_TEST(a.claimer.ownedState(0)->checkpoint_number() == 1);
    BOOST_TEST(a.claimer.ownedState(0)->ranges(0).first_number() == 2);
    a.claimer.moveCheckpoint(0, 1, 4);
    run(a);
    BOOST_TEST(a.claimer.ownedState(0)->checkpoint_parts() == 4);
}

// Regression test for a failure of the interleaving test (seed 21): an owner that did not know that
// its journal was sealed claimed its former shard again, with a range that included its old records
// a second time.
BOOST_AUTO_TEST_CASE(aSealedOwnerClaimsNoShard)
{
    claimAllShardsOnA();
    append(a, 0, "unsent");
    const auto create = [this] {
        now += std::chrono::seconds(1);
        return a.writer.advance(now);
    }();
    BOOST_REQUIRE_EQUAL(create.size(), 1);
    (void)memory.apply(create.front().request);
    b.claimer.setHosts({a.entry(HostState::Dead)}, false);
    run(b);
    BOOST_TEST(b.claimer.ownedShards().size() == kShards);
    b.claimer.setHosts({a.entry()}, true);
    for (const ShardId shard : b.claimer.handovers()) {
        b.claimer.release(shard, b.writer.lastTicket());
    }
    run(b);
    // Host a sees the released shards before it receives the answer to its create.
    a.tableReader.refreshAll();
    step(a.tableReader);
    while (step(a.claimer)) { }
    BOOST_TEST(a.claimer.isSuperseded());
    BOOST_TEST(a.claimer.ownedShards().empty());
    BOOST_TEST(a.claimer.takeLost().size() == kShards);
}

BOOST_AUTO_TEST_CASE(aDamagedShardObjectDoesNotStopItsOwner)
{
    claimAllShardsOnA();
    const store::Object good = memory.objects().at(shardKey(0));
    (void)memory.apply(store::Update{shardKey(0), "edited", good.version});
    a.claimer.moveCheckpoint(0, 1, 1);
    run(a);
    BOOST_TEST(a.claimer.ownedEpoch(0).has_value());
    BOOST_TEST(a.table.faults().at(0).message().find("shards/0") != std::string::npos);
    b.claimer.setHosts({a.entry(HostState::Dead)}, false);
    run(b);
    BOOST_TEST(b.claimer.ownedShards().size() == kShards - 1);
}

BOOST_AUTO_TEST_CASE(aRemovedShardObjectIsReportedAndNotCreatedAgain)
{
    claimAllShardsOnA();
    run(a);
    BOOST_TEST(memory.objects().contains(shardSetKey()));
    (void)memory.apply(store::Remove{shardKey(5)});
    b.claimer.setHosts({a.entry(HostState::Dead)}, false);
    run(b);
    BOOST_TEST(b.claimer.ownedShards().size() == kShards - 1);
    BOOST_TEST(b.table.faults().at(5).message().find("shards/5") != std::string::npos);
    BOOST_TEST(!memory.objects().contains(shardKey(5)));
}

// An owner whose journal was sealed must not create a removed shard object from its outdated state.
BOOST_AUTO_TEST_CASE(aSealedOwnerDoesNotRecreateARemovedShardObject)
{
    claimAllShardsOnA();
    run(a);
    b.claimer.setHosts({a.entry(HostState::Dead)}, false);
    run(b);
    BOOST_REQUIRE(b.claimer.ownedEpoch(5).has_value());
    (void)memory.apply(store::Remove{shardKey(5)});
    a.claimer.moveCheckpoint(5, 1, 0);
    for (int i = 0; i < 5; ++i) {
        step(a.claimer);
        if (a.writer.append({}, now)) {
            step(a.writer);
        }
        now += std::chrono::seconds(1);
    }
    BOOST_TEST(a.claimer.isSuperseded());
    BOOST_TEST(!memory.objects().contains(shardKey(5)));
}

BOOST_AUTO_TEST_CASE(anOwnerRecreatesItsRemovedShardObject)
{
    claimAllShardsOnA();
    run(a);
    (void)memory.apply(store::Remove{shardKey(5)});
    a.claimer.moveCheckpoint(5, 1, 0);
    run(a);
    BOOST_TEST(a.table.faults().contains(5));
    writeTwoBatches();
    BOOST_TEST(a.claimer.ownedState(5)->checkpoint_number() == 1);
    BOOST_TEST(a.table.faults().empty());
    (void)memory.apply(store::Remove{shardKey(6)});
    a.claimer.setHosts({}, true);
    a.claimer.release(6, a.writer.lastTicket());
    run(a);
    writeTwoBatches();
    b.claimer.setHosts({a.entry(HostState::Dead)}, false);
    run(b);
    auto claimed = b.claimer.takeClaimed();
    std::erase_if(claimed, [](const ShardState &state) { return state.shard() != 6; });
    BOOST_TEST((replay(b, claimed) == std::vector<std::string>{"p6"}));
    BOOST_TEST(b.claimer.ownedShards().size() == kShards);
}

BOOST_AUTO_TEST_CASE(noShardIsClaimedIfTheObjectsAreForAnotherShardCount)
{
    (void)memory.apply(store::Create{shardSetKey(), encodeShardSet(kShards + 1)});
    a.claimer.setHosts({}, false);
    run(a);
    BOOST_TEST(a.claimer.ownedShards().empty());
    const auto applied = a.table.apply({shardSetKey(), "1", encodeShardSet(kShards + 1)});
    BOOST_TEST(applied.error().message().find("shards/all") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aJournalSealedWithAnOutdatedViewIsSealedAgain)
{
    claimAllShardsOnA();
    run(b);
    // While b holds an outdated view, a moves the checkpoint of every shard, and the first batch of
    // a is removed.
    for (ShardId shard = 0; shard < kShards; ++shard) {
        a.claimer.moveCheckpoint(shard, a.writer.durableNumber(), 0);
    }
    run(a);
    (void)memory.apply(store::Remove{journal::batchKey(a.writer.incarnation(), 1)});
    append(a, 3, "after");
    run(a);
    BOOST_REQUIRE_EQUAL(a.writer.durableNumber(), 2);
    b.claimer.setHosts({a.entry(HostState::Dead)}, false);
    while (step(b.claimer)) { }
    run(b);
    run(b);
    BOOST_TEST((replay(b, b.claimer.takeClaimed()) == std::vector<std::string>{"after"}));
}

BOOST_AUTO_TEST_SUITE_END()
