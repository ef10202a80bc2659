#include "basilhall/gateway/turn_keeper.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/internal/answer_watch.h"
#include "basilhall/gateway/internal/appended_turns.h"
#include "basilhall/gateway/internal/batch_size.h"
#include "basilhall/gateway/internal/buffered_bytes.h"
#include "basilhall/gateway/internal/call_failures.h"
#include "basilhall/gateway/internal/commit_failures.h"
#include "basilhall/gateway/internal/durability_waits.h"
#include "basilhall/gateway/internal/kept_time.h"
#include "basilhall/gateway/internal/ledger_schedule.h"
#include "basilhall/gateway/internal/peer_record_admission.h"
#include "basilhall/gateway/internal/turn_announcement.h"
#include "basilhall/gateway/internal/turn_index_writer.h"
#include "basilhall/gateway/journal_cleaner.h"
#include "basilhall/gateway/journal_reader.h"
#include "basilhall/gateway/ledger_snapshot.h"
#include "basilhall/gateway/record_codec.h"
#include "basilhall/gateway/snapshot_writer.h"
#include "basilhall/journal/batch_codec.h"
#include "basilhall/journal/writer.h"
#include "basilhall/metrics/registry.h"
#include "basilhall/turns/pinned_turns.h"
#include "basilhall/turns/turn_pieces.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <optional>
#include <set>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// Time without an answer of the object API after which peers are asked to write records that have
// waited as long. A normal answer takes 4 ms.
constexpr Duration kRelayAfter = std::chrono::milliseconds(150);
// New turns are refused immediately once writes have failed for this time.
constexpr Duration kWriteFailureThreshold = std::chrono::milliseconds(600);
// Maximum number of objects removed in each round, one a second, to limit the write load of the
// store.
constexpr std::size_t kRemovalsPerRound = 20;
// Pause before a failed write of the first ledger is repeated.
constexpr Duration kLedgerRetry = std::chrono::milliseconds(200);
// Pause after a failed relay before the next record is relayed.
constexpr Duration kRelayRetry = std::chrono::seconds(1);
// Time that a request for an unknown turn waits while the journals are being read, which takes some
// seconds after a start.
constexpr Duration kTurnLoadTimeout = std::chrono::milliseconds(500);
constexpr Duration kTurnLoadPollInterval = std::chrono::milliseconds(120);
constexpr Duration kTurnLoadRetry = std::chrono::milliseconds(700);
// Retry time of requests refused because the object API is unavailable.
constexpr Duration kNotDurableRetry = std::chrono::milliseconds(500);
// Minimum time between two batches, so that records created at about the same time share a store
// call.
constexpr Duration kFlushInterval = std::chrono::milliseconds(40);
// Spending of programs that are admitted within this time is written together. The shortest turns
// take twice as long.
constexpr Duration kCoverBatchDelay = std::chrono::milliseconds(20);
// Programs without a turn for this time are dropped. Longer than the retention of turns.
constexpr Duration kProgramRetention = std::chrono::minutes(5);
// Content of turns that have ended and are not durable yet, above which no further turn begins. The
// object API takes some 2.6 MB a second even when an answer takes 240 ms. Each waiting turn is in
// memory several times: the request, the record and its batch.
constexpr std::size_t kMaxWaitingBytes = 4UL * 1024 * 1024;
// Larger turns are kept in pieces of this size.
constexpr std::size_t kMaxPieceBytes = 512UL * 1024;
static_assert(kMaxPieceBytes + 64UL * 1024 <= journal::kMaxBatchBytes,
              "A record with the identifiers of a piece has to fit into a batch.");
// Pieces that one message to the writing gateway contains; half of what a message may be.
constexpr std::size_t kPiecesPerWrite = 8;

} // namespace

class TurnKeeper::Private : public std::enable_shared_from_this<TurnKeeper::Private>
{
public:
    Private(const asio::any_io_executor &e, StoreAccess a, HostName h, FleetState &s,
            logging::Log l, metrics::Registry &registry)
        : executor(e)
        , access(std::move(a))
        , host(std::move(h))
        , state(s)
        , log(std::move(l))
        , reader(e, access, s, log)
        , batches(registry.counter(metrics::Metric::JournalBatches))
        , contentBytes(registry.gauge(metrics::Metric::KeptTurnBytes))
        , peerRecords(registry, log)
        , writer(s.self(), ids, {.flushInterval = kFlushInterval, .batchBytes = kMinBatchBytes})
        , ledger(access, {kLedgerKind, s.self().value()})
        , index(s.self())
        , relayableWaits(e)
        , waits(e)
        , answers(e, kRelayAfter, [this] { onSilent(); })
        , writerTimer(e)
        , coverTimer(e)
    {
    }

    static Instant now() { return MonotonicClock().now(); }

    // Starts all store operations of the writer that are due, and schedules its next run.
    void advanceWriter()
    {
        if (!hasDurableLedger) {
            saveLedger();
            return;
        }
        for (store::Operation &operation : writer.advance(now())) {
            batches.add();
            answers.onSent();
            sentAt = now();
            access(std::move(operation.request),
                   [self = shared_from_this(), id = operation.id](const store::Outcome &outcome) {
                       self->onOutcome(id, outcome);
                   });
        }
        if (const auto next = writer.nextWake()) {
            scheduleWriter(*next);
        }
    }

    void saveLedger()
    {
        const bool isCurrent = hasDurableLedger && writer.durableNumber() == ledgerBatch;
        if (isCurrent || ledger.isWriting() || now() < ledgerRetryAt) {
            return;
        }
        LedgerSnapshot snapshot{state.self(), writer.durableNumber(), {}, host};
        snapshot.firstBatch = localJournal.firstBatch(state.self(), writer.durableNumber() + 1);
        saveIndexPart(snapshot.firstBatch);
        snapshot.hasTurnIndex = true;
        snapshot.turns = index.unsaved(state.turns(), snapshot.firstBatch);
        snapshot.indexedBatch = index.lastSavedBatch();
        dropExpiredStreams();
        snapshot.streams = {recordedStreams.begin(), recordedStreams.end()};
        snapshot.spends = state.budgets().summary(recordedPrograms);
        if (!hasDurableLedger) {
            answers.onSent();
        }
        std::string data = encodeLedger(snapshot);
        ledgerSchedule.onWritten(data.size(), now());
        ledger.write(
            std::move(data), [weak = weak_from_this(), batch = snapshot.batch](bool isDurable) {
                const auto self = weak.lock();
                if (!self) {
                    return;
                }
                if (!self->hasDurableLedger) {
                    self->answers.onAnswered();
                }
                if (!isDurable) {
                    self->ledgerSchedule.onFailed(now());
                }
                if (isDurable) {
                    self->ledgerBatch = batch;
                    self->hasDurableLedger = true;
                    self->noteStoreResult(true, std::nullopt);
                    self->advanceWriter();
                } else if (!self->hasDurableLedger) {
                    self->noteStoreResult(
                        false,
                        Error(ErrorKind::StoreUnavailable,
                              "the object API does not accept the ledger of this gateway"));
                    self->ledgerRetryAt = now() + kLedgerRetry;
                    self->scheduleWriter(self->ledgerRetryAt);
                }
            });
    }

    void dropExpiredStreams()
    {
        const WallMillis wallNow = MonotonicClock().wallMillis();
        std::erase_if(recordedStreams, [wallNow](const resumption::StreamOrigin &origin) {
            return origin.keptUntil < wallNow;
        });
    }

    // Adds the turns of the batch that has just become durable to the index.
    void noteBatch()
    {
        const journal::BatchNumber number = writer.durableNumber();
        BatchContent content{std::max(lastKeptUntil, spendingKeptUntil()), {}};
        for (IndexedTurn &turn :
             appendedTurns.takeDurable(writer.durableTicket(), state.self(), number)) {
            state.turns().addStored(turn.id, turn.stored);
            content.turns.push_back(turn.id);
            storedTurns.push_back(turn);
            index.add(std::move(turn));
        }
        localJournal.onBatch(state.self(), number, std::move(content));
    }

    // Moves the turns in the ledger to a part of the index once they are many.
    void saveIndexPart(journal::BatchNumber firstBatch)
    {
        const auto part = index.beginPart(state.turns(), firstBatch);
        if (!part) {
            return;
        }
        access(store::Create{turnIndexKey(part->incarnation, part->lastBatch),
                             encodeTurnIndexPart(*part)},
               [weak = weak_from_this()](const store::Outcome &outcome) {
                   const auto self = weak.lock();
                   if (!self) {
                       return;
                   }
                   // A conflict shows that an earlier write took effect although its answer was
                   // lost.
                   const bool isDurable =
                       outcome || outcome.error().kind() == ErrorKind::StoreConflict;
                   if (const auto lastBatch = self->index.onPartWritten(isDurable)) {
                       self->localJournal.onIndexPart(self->state.self(), *lastBatch);
                   } else {
                       self->log.info("Could not write a part of the index of turns.",
                                      Field("reason", outcome.error()));
                   }
               });
    }

    // Objects that cannot be removed now are found again after the next start of a gateway.
    void remove(const std::vector<store::ObjectKey> &keys)
    {
        for (const store::ObjectKey &key : keys) {
            access(store::Remove{key}, [weak = weak_from_this()](const store::Outcome &outcome) {
                const auto self = weak.lock();
                if (self && !outcome && outcome.error().kind() != ErrorKind::NotFound) {
                    self->log.info("Could not remove an expired object.",
                                   Field("reason", outcome.error()));
                }
            });
        }
    }

    void onSilent()
    {
        log.warning("Object API does not answer a write.",
                    Field("pending_bytes", writer.pendingBytes()));
        relayableWaits.wakeAll();
    }

    void onOutcome(store::OperationId id, const store::Outcome &outcome)
    {
        answers.onAnswered();
        const bool isFailure = !outcome && outcome.error().kind() == ErrorKind::StoreUnavailable;
        noteStoreResult(!isFailure, outcome ? std::nullopt : std::optional(outcome.error()));
        const journal::BatchNumber before = writer.durableNumber();
        writer.onOutcome(id, outcome, now());
        if (writer.durableNumber() > before) {
            noteBatch();
            writer.setBatchBytes(batchBytes(now() - sentAt, state.hostLoad().loopDelay()));
        }
        wakeWaits();
        advanceWriter();
    }

    void wakeWaits()
    {
        relayableWaits.onDurable(writer.durableTicket());
        waits.onDurable(writer.durableTicket());
        if (writer.isSealed()) {
            relayableWaits.wakeAll();
            waits.wakeAll();
        }
    }

    void noteStoreResult(bool isAvailable, const std::optional<Error> &error)
    {
        if (isAvailable) {
            if (storeFailures.since()) {
                log.info("Object API accepts records again.",
                         Field("after", storeFailures.failingFor(now())));
            }
            storeFailures.onSucceeded();
            commitFailures.onSucceeded();
        } else {
            if (!storeFailures.since()) {
                log.warning("Object API does not accept records.", Field("reason", *error));
            }
            storeFailures.onFailed(now());
            relayableWaits.wakeAll();
        }
    }

    void scheduleWriter(Instant at)
    {
        const Duration delay = std::max(at - now(), Duration::zero());
        writerTimer.expires_after(delay);
        writerTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->advanceWriter();
            }
        });
    }

    // Waits until all records up to `ticket` are durable, or a peer has made `records` durable.
    static asio::awaitable<Result<void>> awaitDurable(std::shared_ptr<Private> self,
                                                      journal::RecordTicket ticket,
                                                      std::vector<journal::Record> records,
                                                      Duration timeout)
    {
        const Instant deadline = now() + timeout;
        const Instant relayAt = now() + kRelayAfter;
        bool isRelayed = !self->relay;
        while (self->writer.durableTicket() < ticket) {
            const Instant time = now();
            if (time >= deadline || self->writer.isSealed()) {
                co_return Error(ErrorKind::StoreUnavailable, "the record is not durable yet")
                    .withRetryAfter(kNotDurableRetry);
            }
            const bool isSilent = self->answers.isSilent();
            if (!isRelayed && (self->storeFailures.since() || (isSilent && time >= relayAt))) {
                isRelayed = true;
                const auto relay = self->relay;
                if (co_await relay(records)) {
                    self->relayFailedAt.reset();
                    co_return success();
                }
                if (!hasAllowedRegions(records)) {
                    self->relayFailedAt = now();
                }
                continue;
            }
            if (isRelayed) {
                co_await self->waits.wait(ticket, deadline - time);
            } else {
                const Instant until = isSilent ? std::min(relayAt, deadline) : deadline;
                co_await self->relayableWaits.wait(ticket, until - time);
            }
        }
        co_return success();
    }

    // Counts a call of write() while it runs.
    class RunningWrite
    {
    public:
        explicit RunningWrite(std::size_t &count)
            : m_count(count)
        {
            ++m_count;
        }
        ~RunningWrite() { --m_count; }
        RunningWrite(const RunningWrite &) = delete;
        RunningWrite &operator=(const RunningWrite &) = delete;

    private:
        std::size_t &m_count;
    };

    Result<journal::RecordTicket> append(const std::vector<journal::Record> &records)
    {
        journal::RecordTicket last = 0;
        for (const journal::Record &record : records) {
            BOOST_OUTCOME_TRY(last, writer.append(record, now()));
            if (record.has_turn_kept()) {
                lastKeptUntil = std::max(lastKeptUntil, record.turn_kept().kept_until_wall_ms());
                appendedTurns.add(last, record.turn_kept());
            } else if (record.has_program_spend()) {
                recordedPrograms.insert(ProgramId(record.program_spend().program_id()));
            }
        }
        return last;
    }

    static asio::awaitable<Result<void>>
    write(std::shared_ptr<Private> self, std::vector<journal::Record> records, Duration timeout)
    {
        const RunningWrite running(self->runningWrites);
        if (self->commit) {
            const auto commit = self->commit;
            std::vector<journal::Record> copies = records;
            const CommitOutcome outcome = co_await commit(std::move(copies));
            if (outcome == CommitOutcome::Durable) {
                self->commitFailures.onSucceeded();
                co_return success();
            }
            if (outcome == CommitOutcome::Failed && !hasAllowedRegions(records)) {
                self->commitFailures.onFailed(now());
            }
            // Records of turns that have run are written to the local journal instead. A budget
            // record is not: the caller retries it.
            const bool hasTurn =
                std::any_of(records.begin(), records.end(),
                            [](const journal::Record &record) { return record.has_turn_kept(); });
            if (outcome == CommitOutcome::Failed && !hasTurn) {
                co_return Error(ErrorKind::StoreUnavailable, "no gateway makes records durable")
                    .withRetryAfter(kNotDurableRetry);
            }
        }
        const auto ticket = self->append(records);
        if (!ticket) {
            co_return ticket.error();
        }
        self->advanceWriter();
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
        coverTimer.expires_after(kCoverBatchDelay);
        coverTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->isCoverScheduled = false;
                asio::co_spawn(self->executor, coverPending(self), asio::detached);
            }
        });
    }

    // Spending that does not become durable here is written before the next turn of the program.
    static asio::awaitable<void> coverPending(std::shared_ptr<Private> self)
    {
        std::vector<turns::SpendReport> spends;
        for (const ProgramId &program : std::exchange(self->programsToCover, {})) {
            spends.push_back(self->state.budgets().record(program));
        }
        const Result<void> done =
            co_await writeSpends(self, std::move(spends), kWriteFailureThreshold);
        if (!done) {
            self->log.warning("Spending records are not durable yet.",
                              Field("reason", done.error()));
        }
    }

    // Returns the prompt of a turn after reading the content of its chain that is not known. If it
    // cannot be read, a peer may have it in memory.
    static asio::awaitable<Result<std::string>> readPrompt(std::shared_ptr<Private> self,
                                                           turns::TurnId previous, TeamName team,
                                                           std::string input)
    {
        const auto read = co_await self->reader.readChain(previous);
        if (!read && self->searchPeers) {
            (void)co_await self->searchPeers(previous, SearchScope::AllPeers);
        }
        if (!self->state.turns().hasWholeChain(previous)) {
            co_return Error(ErrorKind::StoreUnavailable,
                            read ? "the content of the turn is not in memory any more"
                                 : read.error().message())
                .withNotRun()
                .withRetryAfter(kNotDurableRetry);
        }
        co_return self->state.turns().prompt(previous, team, input);
    }

    // Waits for kTurnLoadTimeout until a gateway that knows all turns, this one or a holder, can
    // answer.
    static asio::awaitable<Result<std::string>> awaitPrompt(std::shared_ptr<Private> self,
                                                            turns::TurnId previous, TeamName team,
                                                            std::string input)
    {
        asio::steady_timer pause(self->executor);
        const Instant deadline = now() + kTurnLoadTimeout;
        while (now() < deadline) {
            pause.expires_after(kTurnLoadPollInterval);
            (void)co_await pause.async_wait(kTuple);
            if (self->state.turns().missing(previous)) {
                co_return co_await readPrompt(self, previous, team, input);
            }
            TurnSearch search = TurnSearch::Incomplete;
            if (self->searchPeers && !self->state.turns().contains(previous)) {
                search = co_await self->searchPeers(previous, SearchScope::Holders);
            }
            auto made = self->state.turns().prompt(previous, team, input);
            if (made) {
                co_return made;
            }
            if (search == TurnSearch::UnknownToHolders) {
                break;
            }
        }
        co_return Error(ErrorKind::Unavailable,
                        "the turn was not found, but not all gateways could be searched yet")
            .withNotRun()
            .withRetryAfter(kTurnLoadRetry);
    }

    asio::any_io_executor executor;
    StoreAccess access;
    HostName host;
    FleetState &state;
    logging::Log log;
    JournalReader reader;
    metrics::Counter &batches;
    metrics::Gauge &contentBytes;
    PeerRecordAdmission peerRecords;
    store::OperationIdSource ids;
    journal::Writer writer;
    SnapshotWriter ledger;
    // The first ledger is durable, so that a list of the ledgers includes this journal: batches may
    // be written.
    bool hasDurableLedger = false;
    LedgerSchedule ledgerSchedule;
    // Earliest time of the next attempt to write the first ledger. Every record that is appended
    // advances the writer, which must not call a failing object API each time.
    Instant ledgerRetryAt = Instant::min();
    // Last batch that the durable ledger includes.
    journal::BatchNumber ledgerBatch = 0;
    JournalCleaner localJournal{state.turns()};
    AppendedTurns appendedTurns;
    // Streams in the local journal that callers may still continue.
    std::deque<resumption::StreamOrigin> recordedStreams;
    // Index of the local journal.
    TurnIndexWriter index;
    // Latest wall-clock time in ms until which a turn of this journal is kept.
    WallMillis lastKeptUntil = 0;
    // Waits for records of this gateway that may still be relayed.
    DurabilityWaits relayableWaits;
    // All other waits.
    DurabilityWaits waits;
    // Watches the writes of this gateway, so that records are relayed only if the object API does
    // not answer, and not because this host is late.
    AnswerWatch answers;
    asio::steady_timer writerTimer;
    CallFailures storeFailures;
    Relay relay;
    Commit commit;
    CommitFailures commitFailures;
    std::optional<Instant> relayFailedAt;
    Announce announce;
    TellSpending tellSpending;
    SearchPeers searchPeers;
    // Programs with records in this journal. Only these are included in the ledger.
    std::set<ProgramId> recordedPrograms;
    // Programs with admitted turns for which coverPending() will write a record.
    std::set<ProgramId> programsToCover;
    bool isCoverScheduled = false;
    asio::steady_timer coverTimer;
    bool isLoaded = false;
    bool knowsLedger = false;
    bool hasKeptTurns = false;
    std::size_t runningWrites = 0;
    // See takeStoredTurns().
    std::vector<IndexedTurn> storedTurns;
    // Content of the turns for which keep() waits.
    std::size_t waitingBytes = 0;
    // When the last write was sent.
    Instant sentAt;
};

TurnKeeper::TurnKeeper(const asio::any_io_executor &executor, StoreAccess access, HostName host,
                       FleetState &state, logging::Log log, metrics::Registry &registry)
    : d(std::make_shared<Private>(executor, std::move(access), std::move(host), state,
                                  std::move(log), registry))
{
}

TurnKeeper::~TurnKeeper()
{
    d->writerTimer.cancel();
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

void TurnKeeper::setTellSpending(TellSpending tellSpending)
{
    d->tellSpending = std::move(tellSpending);
}

void TurnKeeper::saveLedger()
{
    if (d->hasDurableLedger) {
        d->saveLedger();
    }
}

bool TurnKeeper::acceptsTurns() const
{
    return std::max(d->waitingBytes, d->writer.pendingBytes()) <= kMaxWaitingBytes;
}

const std::vector<IndexedTurn> &TurnKeeper::storedTurns() const
{
    return d->storedTurns;
}

std::vector<IndexedTurn> TurnKeeper::takeStoredTurns()
{
    return std::exchange(d->storedTurns, {});
}

bool TurnKeeper::isLedgerDue() const
{
    return d->ledgerSchedule.isDue(Private::now());
}

asio::awaitable<Result<void>> TurnKeeper::keep(turns::KeptTurn turn, Duration timeout)
{
    const auto self = d;
    self->hasKeptTurns = true;
    const Instant deadline = Private::now() + timeout;
    BufferedBytes waiting(self->waitingBytes);
    waiting.set(turn.input.size() + turn.output.size());
    std::vector<turns::KeptTurn> pieces = turns::splitTurn(std::move(turn), kMaxPieceBytes);
    std::vector<turns::TurnId> ids;
    ids.reserve(pieces.size());
    for (const turns::KeptTurn &piece : pieces) {
        ids.push_back(piece.id);
    }
    const turns::PinnedTurns pinned(self->state.turns(), std::move(ids));
    std::vector<std::vector<journal::Record>> writes;
    for (turns::KeptTurn &piece : pieces) {
        if (writes.empty() || writes.back().size() == kPiecesPerWrite) {
            writes.emplace_back();
        }
        journal::Record &record = writes.back().emplace_back();
        *record.mutable_turn_kept() = toRecord(piece);
        if (self->announce) {
            self->announce(record.turn_kept());
        }
        self->state.turns().add(std::move(piece));
    }
    // The last record makes the turn exist, so the others are durable before it.
    for (std::vector<journal::Record> &records : writes) {
        const Result<void> done =
            co_await Private::write(self, std::move(records), deadline - Private::now());
        if (!done) {
            co_return done;
        }
    }
    co_return success();
}

asio::awaitable<Result<void>> TurnKeeper::cover(ProgramId program, Duration timeout)
{
    const auto self = d;
    if (!canPersist()) {
        co_return Error(ErrorKind::StoreUnavailable, "neither store nor peers accept records")
            .withRetryAfter(kNotDurableRetry);
    }
    std::vector<turns::SpendReport> spends;
    spends.push_back(self->state.budgets().record(program));
    co_return co_await Private::writeSpends(self, std::move(spends), timeout);
}

asio::awaitable<Result<void>> TurnKeeper::coverEnd(ProgramId program, Duration timeout)
{
    const auto self = d;
    const Result<void> covered = co_await cover(program, timeout);
    if (!covered && self->tellSpending) {
        const auto tell = self->tellSpending;
        if (co_await tell(program)) {
            co_return success();
        }
    }
    co_return covered;
}

void TurnKeeper::coverSoon(const ProgramId &program)
{
    d->programsToCover.insert(program);
    d->scheduleCover();
}

void TurnKeeper::coverOvercounted()
{
    if (!canPersist()) {
        return;
    }
    for (const ProgramId &program : d->state.budgets().overcountedPrograms()) {
        coverSoon(program);
    }
}

void TurnKeeper::recordStream(const resumption::StreamOrigin &origin)
{
    journal::Record record;
    *record.mutable_stream_begun() = toRecord(origin);
    const auto ticket = d->append({record});
    if (!ticket) {
        d->log.warning("Cannot record where a stream began.", Field("call", origin.attempt),
                       Field("reason", ticket.error()));
        return;
    }
    d->recordedStreams.push_back(origin);
    d->advanceWriter();
}

bool TurnKeeper::admitPeerRecords()
{
    const Instant now = Private::now();
    return d->peerRecords.admit({d->writer.pendingBytes(), d->storeFailures.failingFor(now),
                                 d->storeFailures.since().has_value() || d->answers.isSilent()},
                                now);
}

asio::awaitable<Result<void>> TurnKeeper::keepForPeer(std::vector<journal::Record> records,
                                                      Duration timeout)
{
    const auto self = d;
    for (const journal::Record &record : records) {
        if (record.has_program_spend()) {
            // Must precede the next ledger that states that it includes the batch with this record.
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
    self->advanceWriter();
    if (self->writer.durableTicket() < ticket.value() && !self->writer.isSealed()) {
        co_await self->waits.wait(ticket.value(), timeout);
    }
    if (self->writer.durableTicket() < ticket.value()) {
        co_return Error(ErrorKind::StoreUnavailable, "the records are not durable yet");
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
        self->log.info("A turn belongs to another team.", Field("turn", previous),
                       Field("team", team));
        co_return made;
    }
    const turns::TurnTable &turns = self->state.turns();
    if (turns.missing(previous)) {
        co_return co_await Private::readPrompt(self, std::move(previous), std::move(team),
                                               std::move(input));
    }
    TurnSearch search = TurnSearch::Incomplete;
    if (self->searchPeers) {
        search = co_await self->searchPeers(previous, SearchScope::AllPeers);
    }
    // A turn of which only a part of the chain is known exists.
    if (search == TurnSearch::Unknown && !turns.isKept(previous)) {
        co_return made;
    }
    Result<void> read = success();
    if (!turns.missing(previous)) {
        if (!self->reader.hasLoadedTurns()) {
            co_return co_await Private::awaitPrompt(self, std::move(previous), std::move(team),
                                                    std::move(input));
        }
        read = co_await self->reader.refresh();
    }
    if (turns.missing(previous)) {
        co_return co_await Private::readPrompt(self, std::move(previous), std::move(team),
                                               std::move(input));
    }
    // A peer that did not answer may have kept the turn recently.
    if (read && search == TurnSearch::UnknownToPeers && !turns.isKept(previous)) {
        co_return made;
    }
    co_return Error(ErrorKind::StoreUnavailable,
                    "the turn was not found, but not all peers and journals could be searched")
        .withNotRun()
        .withRetryAfter(kNotDurableRetry);
}

void TurnKeeper::setSearchPeers(SearchPeers searchPeers)
{
    d->searchPeers = std::move(searchPeers);
}

JournalReader &TurnKeeper::reader()
{
    return d->reader;
}

bool TurnKeeper::hasKeptTurns() const
{
    return d->hasKeptTurns;
}

std::uint64_t TurnKeeper::durableBatch() const
{
    return d->writer.durableNumber();
}

void TurnKeeper::setLoaded()
{
    d->isLoaded = true;
}

void TurnKeeper::setLedgerKnown()
{
    d->knowsLedger = true;
}

bool TurnKeeper::knowsLedger() const
{
    return d->knowsLedger;
}

bool TurnKeeper::isLoaded() const
{
    return d->isLoaded;
}

Duration TurnKeeper::storeFailingFor() const
{
    const Instant now = Private::now();
    return std::max(d->storeFailures.failingFor(now), d->commitFailures.failingFor(now));
}

Duration TurnKeeper::ownCallsFailingFor() const
{
    return d->storeFailures.failingFor(Private::now());
}

std::optional<Instant> TurnKeeper::lastStoreFailure() const
{
    const std::optional<Instant> own = d->storeFailures.last();
    return own ? own : d->commitFailures.last(Private::now());
}

bool TurnKeeper::canPersist() const
{
    const Instant now = Private::now();
    if (d->commitFailures.hasFailedWithin(kRelayRetry, now)) {
        return false;
    }
    if (d->storeFailures.failingFor(now) < kWriteFailureThreshold) {
        return true;
    }
    return d->relay && (!d->relayFailedAt || now - *d->relayFailedAt > kRelayRetry);
}

void TurnKeeper::addTurn(const journal::TurnKept &turn)
{
    d->state.turns().add(fromRecord(turn));
}

void TurnKeeper::expire(bool receivesAllTurns, const std::optional<std::set<Incarnation>> &live)
{
    const WallMillis wallNow = MonotonicClock().wallMillis();
    if (!d->reader.isLoadingTurns()) {
        d->state.turns().expire(wallNow);
    }
    d->contentBytes.set(static_cast<double>(d->state.turns().contentBytes()));
    if (receivesAllTurns) {
        d->remove(d->localJournal.expired(wallNow, {}, kRemovalsPerRound));
    }
    if (receivesAllTurns && live) {
        d->remove(d->reader.expired(wallNow, *live, kRemovalsPerRound));
    }
    d->state.origins().expire(wallNow);
    d->state.outputs().expire(wallNow);
    d->state.budgets().expire(Private::now() - kProgramRetention);
    std::erase_if(d->recordedPrograms, [self = d.get()](const ProgramId &program) {
        return !self->state.budgets().knows(program);
    });
}

std::size_t TurnKeeper::pendingBytes() const
{
    return d->writer.pendingBytes();
}

std::optional<Instant> TurnKeeper::oldestPendingSince() const
{
    return d->writer.oldestPendingSince();
}

bool TurnKeeper::isIdle() const
{
    return d->writer.pendingBytes() == 0 && d->runningWrites == 0 && d->programsToCover.empty();
}

} // namespace basilhall::gateway
