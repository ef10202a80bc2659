// A holder that starts after the loss of all gateways must serve single turns without reading all.
#include "basilhall/gateway/journal_reader.h"
#include "basilhall/gateway/ledger_snapshot.h"
#include "basilhall/gateway/refusal.h"
#include "basilhall/gateway/testing/mesh_fixture.h"
#include "basilhall/gateway/turn_index.h"
#include "basilhall/journal/batch_codec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <variant>

using namespace basilhall;
using namespace basilhall::gateway;
using namespace basilhall::gateway::testing;

namespace
{

constexpr int kTurns = 2'500;
constexpr int kChainLength = 3;

std::string nameOf(int number)
{
    return "t" + std::to_string(number);
}

// One gateway that wrote chains of kChainLength turns and is lost, and a successor on another host.
struct LoadFixture {
    LoadFixture() { keeper.setLoaded(); }

    asio::awaitable<void> keepOne(turns::KeptTurn kept)
    {
        const Result<void> done = co_await keeper.keep(std::move(kept), 5s);
        BOOST_TEST(done.has_value());
    }

    // Keeps the turns with these numbers, several at a time.
    void write(int first, int last)
    {
        int missing = last - first;
        for (int number = first; number < last; ++number) {
            const std::string previous = number % kChainLength == 0 ? "" : nameOf(number - 1);
            asio::co_spawn(context, keepOne(turn(nameOf(number), previous)),
                           [&missing](const std::exception_ptr &) { --missing; });
        }
        while (missing > 0) {
            context.run_one();
        }
        keeper.saveLedger();
    }

    void load()
    {
        runCoroutine(context, [this]() -> asio::awaitable<void> {
            const Result<void> read = co_await successor.reader().loadTurns(
                [] { return std::map<HostName, Incarnation>(); });
            BOOST_TEST(read.has_value());
        });
    }

    Result<std::string> prompt(const std::string &previous)
    {
        Result<std::string> result = std::string();
        runCoroutine(context, [&]() -> asio::awaitable<void> {
            result = co_await successor.prompt(turns::TurnId(previous), kTeam, "next");
        });
        return result;
    }

    store::Outcome access(const store::Request &request)
    {
        if (onRequest) {
            onRequest(request);
        }
        const auto *list = std::get_if<store::List>(&request);
        journalLists += list != nullptr && list->kind == journal::kJournalKind ? 1 : 0;
        const auto *read = std::get_if<store::Read>(&request);
        batchReads += read != nullptr && read->key.kind == journal::kJournalKind ? 1 : 0;
        return isCutFromStore ? Error(ErrorKind::StoreUnavailable, "cut") : objects.apply(request);
    }

    StoreAccess storeAccess()
    {
        return [this](const store::Request &request, const store::OutcomeHandler &handler) {
            if (isDelayed) {
                delayed.push_back([this, request, handler] { handler(access(request)); });
            } else {
                handler(access(request));
            }
        };
    }

    // Requests the last turn of each chain at once, and answers one request to the store after the
    // other. Returns the number of turns that were found.
    int promptAll(int turns)
    {
        int found = 0;
        int unanswered = 0;
        isDelayed = true;
        for (int number = kChainLength - 1; number < turns; number += kChainLength) {
            ++unanswered;
            asio::co_spawn(
                context,
                [this, number, &found, &unanswered]() -> asio::awaitable<void> {
                    const turns::TurnId previous(nameOf(number));
                    const auto prompt = co_await successor.prompt(previous, kTeam, "next");
                    found += prompt ? 1 : 0;
                    --unanswered;
                },
                asio::detached);
        }
        while (unanswered > 0) {
            context.poll();
            mostDelayed = std::max(mostDelayed, delayed.size());
            if (!delayed.empty()) {
                const auto answer = delayed.front();
                delayed.pop_front();
                answer();
            }
        }
        return found;
    }

    asio::io_context context;
    // The context keeps running between two steps of a test.
    asio::executor_work_guard<asio::io_context::executor_type> work =
        asio::make_work_guard(context);
    store::MemoryStore objects;
    metrics::Registry registry;
    std::function<void(const store::Request &)> onRequest;
    int journalLists = 0;
    int batchReads = 0;
    bool isCutFromStore = false;
    bool isDelayed = false;
    std::deque<std::function<void()>> delayed;
    std::size_t mostDelayed = 0;
    FleetState state{Incarnation("lost-1"), FailureDomain("a")};
    TurnKeeper keeper{context.get_executor(), storeAccess(), HostName("lost"), state,
                      logging::Log(),         registry};
    FleetState successorState{Incarnation("next-1"), FailureDomain("a")};
    TurnKeeper successor{context.get_executor(), storeAccess(),  HostName("next"),
                         successorState,         logging::Log(), registry};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_turn_index_load, LoadFixture)

// On a large fleet, reading all journals took 8 to 12 s, in which no kept turn was served.
BOOST_AUTO_TEST_CASE(turnIsServedAfterARestartOfAllWithoutReadingAllJournals)
{
    for (int first = 0; first < kTurns; first += kTurns / 5) {
        write(first, first + kTurns / 5);
    }
    load();
    BOOST_TEST(journalLists == 0);
    BOOST_TEST(successorState.turns().size() < kTurns / 5U);
    batchReads = 0;
    const auto found = prompt(nameOf(kChainLength - 1));
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found.value() == "inoutinoutinoutnext");
    BOOST_TEST(batchReads <= kChainLength);
    BOOST_TEST(journalLists == 0);
    BOOST_TEST(prompt("none").has_error());
}

// Holders of a large fleet read the same batches again for each waiting request, over 2,600
// connections at a time, and had no processor time left for their peers.
BOOST_AUTO_TEST_CASE(requestsAfterARestartOfAllReadEachBatchOnce)
{
    constexpr int kTurnsAWrite = 30;
    constexpr int kWrites = 40;
    for (int number = 0; number < kWrites; ++number) {
        write(number * kTurnsAWrite, (number + 1) * kTurnsAWrite);
    }
    load();
    batchReads = 0;
    BOOST_TEST(promptAll(kWrites * kTurnsAWrite) == kWrites * kTurnsAWrite / kChainLength);
    const auto batches = objects.apply(store::List{journal::kJournalKind, ""});
    BOOST_TEST(batchReads <= static_cast<int>(batches.value().size()));
    BOOST_TEST(mostDelayed <= 32U);
}

BOOST_AUTO_TEST_CASE(turnsAfterTheLastLedgerAreFound)
{
    write(0, 3);
    runCoroutine(context, [this] { return keepOne(turn("late", nameOf(2))); });
    load();
    const auto found = prompt("late");
    BOOST_TEST((found && found.value() == "inoutinoutinoutinoutnext"));
}

// A peer passed on the spending up to a later batch than the ledger, and what follows was read.
BOOST_AUTO_TEST_CASE(turnsBetweenTheLedgerAndABatchThatWasReadBeforeAreFound)
{
    write(0, 3);
    for (const std::string id : {"a", "b", "c"}) {
        runCoroutine(context, [this, &id] { return keepOne(turn(id)); });
    }
    successor.reader().noteLostPeer(state.self(), keeper.durableBatch() - 1);
    runCoroutine(context, [this]() -> asio::awaitable<void> {
        BOOST_TEST((co_await successor.reader().refresh()).has_value());
    });
    BOOST_TEST_REQUIRE(successorState.turns().size() == 1U);
    load();
    runCoroutine(context, [this]() -> asio::awaitable<void> {
        BOOST_TEST(co_await successor.reader().confirmAllTurns());
    });
    BOOST_TEST(successorState.turns().isKept(turns::TurnId("a")));
    BOOST_TEST(prompt("a").has_value());
    BOOST_TEST(prompt("b").has_value());
}

BOOST_AUTO_TEST_CASE(journalsAreReadIfAPartOfAnIndexIsLost)
{
    for (int first = 0; first < kTurns; first += kTurns / 5) {
        write(first, first + kTurns / 5);
    }
    write(kTurns, kTurns + 3);
    const auto parts = objects.apply(store::List{kTurnIndexKind, ""});
    BOOST_TEST_REQUIRE(!parts.value().empty());
    for (const store::Object &part : parts.value()) {
        BOOST_TEST(objects.apply(store::Remove{part.key}).has_value());
    }
    load();
    BOOST_TEST(journalLists == 1);
    BOOST_TEST(prompt(nameOf(2)).has_value());
}

// The writer does not receive the turn of another gateway that continues its own.
BOOST_AUTO_TEST_CASE(expiredTurnThatAnotherGatewayContinuesIsFoundAfterARestart)
{
    turns::KeptTurn first = turn("t0");
    first.keptUntil = MonotonicClock().wallMillis() + 20;
    runCoroutine(context, [&] { return keepOne(first); });
    asio::steady_timer(context, 50ms).wait();
    keeper.expire(false, std::nullopt);
    BOOST_TEST_REQUIRE(!state.turns().isKept(first.id));
    // Its next ledger.
    write(1, 2);
    load();
    successorState.turns().add(turn("t2", "t0"));
    const auto found = prompt("t2");
    BOOST_TEST((found && found.value() == "inoutinoutnext"));
}

// A gateway stops being a holder while it reads, and misses turns from then on.
BOOST_AUTO_TEST_CASE(loadThatWasOvertakenByARequiredReloadIsNotComplete)
{
    write(0, 3);
    onRequest = [this](const store::Request &request) {
        const auto *list = std::get_if<store::List>(&request);
        if (list != nullptr && list->kind == kTurnIndexKind) {
            successor.reader().requireReload();
        }
    };
    runCoroutine(context, [this]() -> asio::awaitable<void> {
        (void)co_await successor.reader().loadTurns(
            [] { return std::map<HostName, Incarnation>(); });
    });
    BOOST_TEST(!successor.reader().hasLoadedTurns());
    onRequest = nullptr;
    load();
    BOOST_TEST(successor.reader().hasLoadedTurns());
}

// The first turn follows the last ledger and was dropped while its continuation was missed.
BOOST_AUTO_TEST_CASE(batchesAfterTheLedgerAreReadAgainByAReload)
{
    turns::KeptTurn first = turn("t0");
    first.keptUntil = MonotonicClock().wallMillis() + 50;
    runCoroutine(context, [&] { return keepOne(first); });
    load();
    asio::steady_timer(context, 100ms).wait();
    successor.expire(false, std::nullopt);
    successor.reader().requireReload();
    runCoroutine(context, [this] { return keepOne(turn("t1", "t0")); });
    load();
    const auto found = prompt("t1");
    BOOST_TEST((found && found.value() == "inoutinoutnext"));
}

// Its continuation follows the last ledger. The indexes are added before it is read.
BOOST_AUTO_TEST_CASE(indexedTurnsAreNotDroppedWhileTheirContinuationIsRead)
{
    turns::KeptTurn first = turn("t0");
    first.keptUntil = MonotonicClock().wallMillis() + 200;
    runCoroutine(context, [&] { return keepOne(first); });
    keeper.saveLedger();
    runCoroutine(context, [this] { return keepOne(turn("t1", "t0")); });
    asio::steady_timer(context, 300ms).wait();
    onRequest = [this](const store::Request &request) {
        const auto *read = std::get_if<store::Read>(&request);
        if (read != nullptr && read->key.kind == journal::kJournalKind) {
            successor.expire(false, std::nullopt);
        }
    };
    load();
    const auto found = prompt("t1");
    BOOST_TEST((found && found.value() == "inoutinoutnext"));
    successor.reader().requireReload();
    successor.expire(false, std::nullopt);
    BOOST_TEST(successorState.turns().isKept(first.id));
}

// Another holder removed the ledger, whose batches it did not know.
BOOST_AUTO_TEST_CASE(lostJournalWithoutALedgerIsNotTakenAsRead)
{
    write(0, 3);
    successor.reader().noteLostPeer(state.self(), 0);
    BOOST_TEST(objects.apply(store::Remove{{kLedgerKind, state.self().value()}}).has_value());
    load();
    BOOST_TEST(successor.reader().mayMissSpending());
    runCoroutine(context, [this]() -> asio::awaitable<void> {
        BOOST_TEST(co_await successor.reader().confirmAllTurns());
    });
    BOOST_TEST(prompt(nameOf(2)).has_value());
    BOOST_TEST(!successor.reader().mayMissSpending());
}

// The other ledgers list all of their turns, but not those of this journal.
BOOST_AUTO_TEST_CASE(journalsAreReadIfALedgerIsDamaged)
{
    write(0, 3);
    const auto ledgers = objects.apply(store::List{kLedgerKind, ""});
    for (const store::Object &ledger : ledgers.value()) {
        BOOST_TEST(objects.apply(store::Update{ledger.key, "damaged", ledger.version}).has_value());
    }
    load();
    BOOST_TEST(journalLists == 1);
    BOOST_TEST(prompt(nameOf(2)).has_value());
}

// The object API does not answer for a batch: the turn exists and is not reported as unknown.
BOOST_AUTO_TEST_CASE(turnWhoseBatchCannotBeReadIsNotReportedAsUnknown)
{
    write(0, 3);
    load();
    const auto batches = objects.apply(store::List{journal::kJournalKind, ""});
    for (const store::Object &batch : batches.value()) {
        BOOST_TEST(objects.apply(store::Remove{batch.key}).has_value());
    }
    const auto unread = prompt(nameOf(2));
    BOOST_TEST((!unread && unread.error().kind() == ErrorKind::StoreUnavailable));
    BOOST_TEST(unread.error().notRun());
}

// 502 would state that the turn may have run.
BOOST_AUTO_TEST_CASE(turnWhoseBatchCannotBeReadIsRefusedAsNotRun)
{
    write(0, 3);
    load();
    isCutFromStore = true;
    const auto unread = prompt(nameOf(2));
    BOOST_TEST_REQUIRE(unread.has_error());
    BOOST_TEST(refusalStatus(unread.error()) == 503);
    BOOST_TEST(unread.error().retryAfter().has_value());
}

// A batch of the chain was lost or damaged.
BOOST_AUTO_TEST_CASE(turnThatItsBatchDoesNotContainIsRefusedAsNotRun)
{
    write(0, 3);
    load();
    const auto batches = objects.apply(store::List{journal::kJournalKind, ""});
    for (const store::Object &batch : batches.value()) {
        BOOST_TEST(objects.apply(store::Update{batch.key, "damaged", batch.version}).has_value());
    }
    const auto unread = prompt(nameOf(2));
    BOOST_TEST_REQUIRE(unread.has_error());
    BOOST_TEST(refusalStatus(unread.error()) == 503);
    BOOST_TEST(unread.error().retryAfter().has_value());
}

// The gateway that ran the turn, or another holder, has it in memory.
BOOST_AUTO_TEST_CASE(turnWhoseBatchCannotBeReadIsSearchedAtThePeers)
{
    write(0, 3);
    load();
    successor.setSearchPeers([this](turns::TurnId, SearchScope) -> asio::awaitable<TurnSearch> {
        for (int number = 0; number < kChainLength; ++number) {
            successorState.turns().add(turn(nameOf(number), number == 0 ? "" : nameOf(number - 1)));
        }
        co_return TurnSearch::Found;
    });
    isCutFromStore = true;
    const auto found = prompt(nameOf(2));
    BOOST_TEST((found && found.value() == "inoutinoutinoutnext"));
}

BOOST_AUTO_TEST_SUITE_END()
