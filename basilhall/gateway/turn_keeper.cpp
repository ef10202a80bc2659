#include "basilhall/gateway/turn_keeper.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/internal/kept_time.h"
#include "basilhall/gateway/journal_janitor.h"
#include "basilhall/gateway/journal_reader.h"
#include "basilhall/gateway/ledger_snapshot.h"
#include "basilhall/gateway/record_codec.h"
#include "basilhall/gateway/snapshot_writer.h"
#include "basilhall/journal/batch_codec.h"
#include "basilhall/journal/writer.h"
#include "basilhall/metrics/registry.h"
#include "basilhall/transport/signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <set>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// Time that a record may wait for the object API before a peer is asked to write it; several times
// the usual answer of 4 ms.
constexpr Duration kRelayAfter = std::chrono::milliseconds(150);
// Writes that fail for so long make new turns refused at once.
constexpr Duration kNotKeepingAfter = std::chrono::milliseconds(600);
// Objects removed a second, so that a clean-up takes few of the store's writes.
constexpr std::size_t kRemovalsPerRound = 20;
// Pause before the first ledger is written again.
constexpr Duration kLedgerRetry = std::chrono::milliseconds(200);
// Writers that refused records longer ago say nothing of the object API now; refused records come
// back within a second.
constexpr Duration kCommitMemory = std::chrono::seconds(2);
// Pause after a peer could not help, before the next record tries one.
constexpr Duration kRelayRetry = std::chrono::seconds(1);
// The journals are read within seconds of a start; a turn comes up at any moment of it.
constexpr Duration kReadingWait = std::chrono::milliseconds(500);
constexpr Duration kReadingCheck = std::chrono::milliseconds(120);
constexpr Duration kReadingRetry = std::chrono::milliseconds(700);
// Time to come back after a refusal for lack of the object API.
constexpr Duration kStoreRetry = std::chrono::milliseconds(500);
// Least time between two creates of the journal, so that records of one moment share a call.
constexpr Duration kFlushInterval = std::chrono::milliseconds(40);
// Programs admitted within this time share a record; the shortest turns of the users' engines take
// twice as long.
constexpr Duration kCoverGather = std::chrono::milliseconds(20);
// Programs without a turn for so long are forgotten; longer than turns are kept.
constexpr Duration kProgramMemory = std::chrono::minutes(5);

} // namespace

class TurnKeeper::Private : public std::enable_shared_from_this<TurnKeeper::Private>
{
public:
    Private(const asio::any_io_executor &e, StoreAccess a, FleetState &s, logging::Log l,
            metrics::Registry &registry)
        : executor(e)
        , access(std::move(a))
        , state(s)
        , log(std::move(l))
        , reader(e, access, s, log)
        , batches(registry.counter(metrics::Metric::JournalBatches))
        , writer(s.self(), ids, {.flushInterval = kFlushInterval})
        , ledger(access, {kLedgerKind, s.self().value()})
        , progress(e)
        , wake(e)
        , coverTimer(e)
    {
    }

    static Instant now() { return MonotonicClock().now(); }

    // Runs the writer as far as it goes without waiting.
    void pump()
    {
        if (!hasLedger) {
            saveLedger();
            return;
        }
        for (store::Operation &operation : writer.advance(now())) {
            batches.add();
            access(std::move(operation.request),
                   [self = shared_from_this(), id = operation.id](const store::Outcome &outcome) {
                       self->onOutcome(id, outcome);
                   });
        }
        if (const auto next = writer.nextWake()) {
            schedule(*next);
        }
    }

    void saveLedger()
    {
        if (hasLedger && writer.durableNumber() == ledgerBatch) {
            return;
        }
        LedgerSnapshot snapshot{state.self(), writer.durableNumber(), {}};
        snapshot.spends = state.budgets().summary();
        std::erase_if(snapshot.spends, [this](const auto &entry) {
            return !recordedPrograms.contains(entry.second.program);
        });
        ledger.write(encodeLedger(snapshot),
                     [weak = weak_from_this(), batch = snapshot.batch](bool isDurable) {
                         const auto self = weak.lock();
                         if (!self) {
                             return;
                         }
                         if (isDurable) {
                             self->ledgerBatch = batch;
                             self->hasLedger = true;
                             self->noteStore(true, std::nullopt);
                             self->pump();
                         } else if (!self->hasLedger) {
                             self->noteStore(false,
                                             Error(ErrorKind::StoreUnavailable,
                                                   "the ledger cannot be written"));
                             self->schedule(now() + kLedgerRetry);
                         }
                     });
    }

    // A turn that was appended while the batch was written stands in the next one and counts for
    // both.
    void noteBatch()
    {
        BatchContent content{std::max(lastKeptUntil, spendingKeptUntil()), std::move(earlierTurns)};
        content.turns.insert(content.turns.end(), appendedTurns.begin(), appendedTurns.end());
        earlierTurns = std::exchange(appendedTurns, {});
        ownObjects.onBatch(state.self(), writer.durableNumber(), std::move(content));
    }

    // Objects that cannot be removed now are found again by the next start.
    void remove(const std::vector<store::ObjectKey> &keys)
    {
        for (const store::ObjectKey &key : keys) {
            access(store::Remove{key}, [weak = weak_from_this()](const store::Outcome &outcome) {
                const auto self = weak.lock();
                if (self && !outcome && outcome.error().kind() != ErrorKind::NotFound) {
                    self->log.info("An object whose time is over stays.",
                                   Field("reason", outcome.error()));
                }
            });
        }
    }

    void onOutcome(store::OperationId id, const store::Outcome &outcome)
    {
        const bool isFailure = !outcome && outcome.error().kind() == ErrorKind::StoreUnavailable;
        noteStore(!isFailure, outcome ? std::nullopt : std::optional(outcome.error()));
        const journal::BatchNumber before = writer.durableNumber();
        writer.onOutcome(id, outcome, now());
        if (writer.durableNumber() > before) {
            noteBatch();
        }
        progress.notify();
        pump();
    }

    void noteStore(bool reached, const std::optional<Error> &error)
    {
        if (reached) {
            if (failingSince) {
                log.info("Object API takes records again.", Field("after", now() - *failingSince));
            }
            failingSince.reset();
            commitFailingSince.reset();
        } else if (!failingSince) {
            failingSince = now();
            log.warning("Object API does not take records.", Field("reason", *error));
        }
    }

    void noteCommitFailed()
    {
        const Instant time = now();
        if (!commitFailingSince || time - *commitFailedAt > kCommitMemory) {
            commitFailingSince = time;
        }
        commitFailedAt = time;
    }

    // How long the gateways that write have refused records; zero if none was handed to them
    // lately.
    Duration commitFailingFor() const
    {
        const Instant time = now();
        const bool isFailing = commitFailingSince && time - *commitFailedAt <= kCommitMemory;
        return isFailing ? time - *commitFailingSince : Duration::zero();
    }

    void schedule(Instant at)
    {
        const Duration delay = std::max(at - now(), Duration::zero());
        wake.expires_after(delay);
        wake.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->pump();
            }
        });
    }

    // Waits until everything up to `ticket` is durable, here or at a peer.
    static asio::awaitable<Result<void>> awaitDurable(std::shared_ptr<Private> self,
                                                      journal::Ticket ticket,
                                                      std::vector<journal::Record> records,
                                                      Duration timeout)
    {
        const Instant deadline = now() + timeout;
        const Instant relayAt = now() + kRelayAfter;
        bool isRelayed = !self->relay;
        asio::steady_timer alarm(self->executor);
        while (self->writer.durable() < ticket) {
            const Instant time = now();
            if (time >= deadline || self->writer.isSealed()) {
                co_return Error(ErrorKind::StoreUnavailable, "the record is not durable yet")
                    .withRetryAfter(kStoreRetry);
            }
            if (!isRelayed && (time >= relayAt || self->failingSince)) {
                isRelayed = true;
                const auto relay = self->relay;
                if (co_await relay(records)) {
                    self->relayFailedAt.reset();
                    co_return success();
                }
                self->relayFailedAt = now();
                continue;
            }
            alarm.expires_after((isRelayed ? deadline : relayAt) - time);
            alarm.async_wait([self](boost::system::error_code error) {
                if (!error) {
                    self->progress.notify();
                }
            });
            co_await self->progress.wait();
        }
        co_return success();
    }

    Result<journal::Ticket> append(const std::vector<journal::Record> &records)
    {
        journal::Ticket last = 0;
        for (const journal::Record &record : records) {
            BOOST_OUTCOME_TRY(last, writer.append(record, now()));
            if (record.has_turn_kept()) {
                lastKeptUntil = std::max(lastKeptUntil, record.turn_kept().kept_until_wall_ms());
                appendedTurns.emplace_back(record.turn_kept().turn_id());
            } else if (record.has_program_spend()) {
                recordedPrograms.insert(ProgramId(record.program_spend().program_id()));
            }
        }
        return last;
    }

    static asio::awaitable<Result<void>>
    write(std::shared_ptr<Private> self, std::vector<journal::Record> records, Duration timeout)
    {
        if (self->commit) {
            const auto commit = self->commit;
            std::vector<journal::Record> copies = records;
            const CommitOutcome outcome = co_await commit(std::move(copies));
            if (outcome == CommitOutcome::Durable) {
                self->commitFailingSince.reset();
                co_return success();
            }
            if (outcome == CommitOutcome::Failed) {
                self->noteCommitFailed();
            }
            // A turn that has run is worth an own journal; a budget is asked for again.
            const bool hasTurn =
                std::any_of(records.begin(), records.end(),
                            [](const journal::Record &record) { return record.has_turn_kept(); });
            if (outcome == CommitOutcome::Failed && !hasTurn) {
                co_return Error(ErrorKind::StoreUnavailable, "no gateway makes records durable")
                    .withRetryAfter(kStoreRetry);
            }
        }
        const auto ticket = self->append(records);
        if (!ticket) {
            co_return ticket.error();
        }
        self->pump();
        co_return co_await awaitDurable(self, ticket.value(), std::move(records), timeout);
    }

    static asio::awaitable<Result<void>> writeSpends(std::shared_ptr<Private> self,
                                                     std::vector<turns::SpendReport> spends,
                                                     Duration timeout)
    {
        std::vector<journal::Record> records;
        for (const turns::SpendReport &spend : spends) {
            *records.emplace_back().mutable_program_spend() = toRecord(self->state.self(), spend);
        }
        const Result<void> done = co_await write(self, std::move(records), timeout);
        if (done) {
            for (const turns::SpendReport &spend : spends) {
                self->state.budgets().onDurable(spend);
            }
        }
        co_return done;
    }

    void scheduleCover()
    {
        if (std::exchange(isCoverScheduled, true)) {
            return;
        }
        coverTimer.expires_after(kCoverGather);
        coverTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->isCoverScheduled = false;
                asio::co_spawn(self->executor, coverGathered(self), asio::detached);
            }
        });
    }

    // What does not become durable is written before the program's next turn.
    static asio::awaitable<void> coverGathered(std::shared_ptr<Private> self)
    {
        std::vector<turns::SpendReport> spends;
        for (const ProgramId &program : std::exchange(self->toCover, {})) {
            spends.push_back(self->state.budgets().record(program));
        }
        const Result<void> done = co_await writeSpends(self, std::move(spends), kNotKeepingAfter);
        if (!done) {
            self->log.warning("Spending is not durable yet.", Field("reason", done.error()));
        }
    }

    // Waits a moment for a gateway that holds all turns, this one or a peer, to have read them.
    static asio::awaitable<Result<std::string>> awaitPrompt(std::shared_ptr<Private> self,
                                                            turns::TurnId previous, TeamName team,
                                                            std::string input)
    {
        asio::steady_timer pause(self->executor);
        const Instant deadline = now() + kReadingWait;
        while (now() < deadline) {
            pause.expires_after(kReadingCheck);
            (void)co_await pause.async_wait(kTuple);
            TurnSearch search = TurnSearch::Unsure;
            if (self->searchPeers && !self->state.turns().contains(previous)) {
                search = co_await self->searchPeers(previous);
            }
            auto made = self->state.turns().prompt(previous, team, input);
            if (made || search == TurnSearch::Unknown) {
                co_return made;
            }
        }
        co_return Error(ErrorKind::Unavailable, "no gateway knows all kept turns yet")
            .withNotRun()
            .withRetryAfter(kReadingRetry);
    }

    asio::any_io_executor executor;
    StoreAccess access;
    FleetState &state;
    logging::Log log;
    JournalReader reader;
    metrics::Counter &batches;
    store::OperationIdSource ids;
    journal::Writer writer;
    SnapshotWriter ledger;
    // The journal may be written: whoever lists the ledgers finds it.
    bool hasLedger = false;
    // Batch of the last ledger that is durable.
    journal::BatchNumber ledgerBatch = 0;
    JournalJanitor ownObjects{state.turns()};
    // Turns appended since the last batch became durable, and between that and the one before.
    std::vector<turns::TurnId> appendedTurns;
    std::vector<turns::TurnId> earlierTurns;
    // Latest time until which a turn of this journal is kept.
    WallMillis lastKeptUntil = 0;
    transport::Signal progress;
    asio::steady_timer wake;
    std::optional<Instant> failingSince;
    Relay relay;
    Commit commit;
    std::optional<Instant> commitFailedAt;
    // Since then, no record was made durable by another gateway that should have been.
    std::optional<Instant> commitFailingSince;
    std::optional<Instant> relayFailedAt;
    Announce announce;
    SearchPeers searchPeers;
    // Programs with records in this journal; the ledger is of these.
    std::set<ProgramId> recordedPrograms;
    // Programs with turns that no record covers yet.
    std::set<ProgramId> toCover;
    bool isCoverScheduled = false;
    asio::steady_timer coverTimer;
    bool isLoaded = false;
};

TurnKeeper::TurnKeeper(const asio::any_io_executor &executor, StoreAccess access, FleetState &state,
                       logging::Log log, metrics::Registry &registry)
    : d(std::make_shared<Private>(executor, std::move(access), state, std::move(log), registry))
{
}

TurnKeeper::~TurnKeeper()
{
    d->wake.cancel();
    d->coverTimer.cancel();
}

void TurnKeeper::setRelay(Relay relay)
{
    d->relay = std::move(relay);
}

void TurnKeeper::setCommit(Commit commit)
{
    d->commit = std::move(commit);
}

void TurnKeeper::setAnnounce(Announce announce)
{
    d->announce = std::move(announce);
}

void TurnKeeper::saveLedger()
{
    if (d->hasLedger) {
        d->saveLedger();
    }
}

asio::awaitable<Result<void>> TurnKeeper::keep(turns::KeptTurn turn, Duration timeout)
{
    const auto self = d;
    journal::Record record;
    *record.mutable_turn_kept() = toRecord(turn);
    if (self->announce) {
        self->announce(record.turn_kept());
    }
    self->state.turns().add(std::move(turn));
    std::vector<journal::Record> records;
    records.push_back(std::move(record));
    co_return co_await Private::write(self, std::move(records), timeout);
}

asio::awaitable<Result<void>> TurnKeeper::cover(ProgramId program, Duration timeout)
{
    const auto self = d;
    std::vector<turns::SpendReport> spends;
    spends.push_back(self->state.budgets().record(program));
    co_return co_await Private::writeSpends(self, std::move(spends), timeout);
}

void TurnKeeper::coverSoon(const ProgramId &program)
{
    d->toCover.insert(program);
    d->scheduleCover();
}

asio::awaitable<Result<void>> TurnKeeper::keepFor(std::vector<journal::Record> records,
                                                  Duration timeout)
{
    const auto self = d;
    for (const journal::Record &record : records) {
        if (record.has_program_spend()) {
            // Before the ledger next says that it counts the batch with the record.
            self->state.budgets().onJournalReport(Incarnation(record.program_spend().incarnation()),
                                                  fromRecord(record.program_spend()),
                                                  Private::now());
        } else if (record.has_turn_kept()) {
            self->state.turns().add(fromRecord(record.turn_kept()));
        }
    }
    const auto ticket = self->append(records);
    if (!ticket) {
        co_return ticket.error();
    }
    self->pump();
    const Instant deadline = Private::now() + timeout;
    asio::steady_timer alarm(self->executor);
    alarm.expires_after(timeout);
    alarm.async_wait([self](boost::system::error_code error) {
        if (!error) {
            self->progress.notify();
        }
    });
    while (self->writer.durable() < ticket.value()) {
        if (Private::now() >= deadline || self->writer.isSealed()) {
            co_return Error(ErrorKind::StoreUnavailable, "the records are not durable yet");
        }
        co_await self->progress.wait();
    }
    co_return success();
}

asio::awaitable<Result<std::string>> TurnKeeper::prompt(turns::TurnId previous, TeamName team,
                                                        std::string input)
{
    const auto self = d;
    auto made = self->state.turns().prompt(previous, team, input);
    if (made) {
        co_return made;
    }
    if (self->state.turns().contains(previous) && !self->state.turns().belongsTo(previous, team)) {
        co_return made;
    }
    TurnSearch search = TurnSearch::Unsure;
    if (self->searchPeers) {
        search = co_await self->searchPeers(previous);
    }
    made = self->state.turns().prompt(previous, team, input);
    if (made || search == TurnSearch::Unknown) {
        co_return made;
    }
    if (!self->reader.hasRead()) {
        co_return co_await Private::awaitPrompt(self, std::move(previous), std::move(team),
                                                std::move(input));
    }
    const Result<void> read = co_await self->reader.refresh();
    made = self->state.turns().prompt(previous, team, input);
    // A peer that did not answer may have kept the turn a moment ago; one that is known in part
    // exists.
    const bool isUnknown =
        read && search == TurnSearch::UnknownToPeers && !self->state.turns().contains(previous);
    if (made || isUnknown) {
        co_return made;
    }
    co_return Error(ErrorKind::StoreUnavailable, "the turn cannot be looked up")
        .withNotRun()
        .withRetryAfter(kStoreRetry);
}

void TurnKeeper::setSearchPeers(SearchPeers searchPeers)
{
    d->searchPeers = std::move(searchPeers);
}

JournalReader &TurnKeeper::reader()
{
    return d->reader;
}

std::uint64_t TurnKeeper::durableBatch() const
{
    return d->writer.durableNumber();
}

void TurnKeeper::setLoaded()
{
    d->isLoaded = true;
}

bool TurnKeeper::isLoaded() const
{
    return d->isLoaded;
}

Duration TurnKeeper::storeFailingFor() const
{
    const Duration failing = d->failingSince ? Private::now() - *d->failingSince : Duration::zero();
    return std::max(failing, d->commitFailingFor());
}

bool TurnKeeper::isKeeping() const
{
    const Instant now = Private::now();
    if (d->commitFailingSince && now - *d->commitFailedAt < kRelayRetry) {
        return false;
    }
    if (!d->failingSince || now - *d->failingSince < kNotKeepingAfter) {
        return true;
    }
    return d->relay && (!d->relayFailedAt || now - *d->relayFailedAt > kRelayRetry);
}

void TurnKeeper::learn(const journal::TurnKept &turn)
{
    d->state.turns().add(fromRecord(turn));
}

void TurnKeeper::expire(const std::optional<std::set<Incarnation>> &live)
{
    const WallMillis wallNow = MonotonicClock().wallMillis();
    d->state.turns().expire(wallNow);
    d->remove(d->ownObjects.expired(wallNow, {}, kRemovalsPerRound));
    if (live) {
        d->remove(d->reader.expired(wallNow, *live, kRemovalsPerRound));
    }
    d->state.budgets().expire(Private::now() - kProgramMemory);
    std::erase_if(d->recordedPrograms, [self = d.get()](const ProgramId &program) {
        return !self->state.budgets().knows(program);
    });
}

bool TurnKeeper::isIdle() const
{
    return d->writer.pendingBytes() == 0;
}

} // namespace basilhall::gateway
