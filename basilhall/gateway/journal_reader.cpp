#include "basilhall/gateway/journal_reader.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/internal/batch_reads.h"
#include "basilhall/gateway/internal/kept_time.h"
#include "basilhall/gateway/internal/open_journals.h"
#include "basilhall/gateway/internal/read_ranges.h"
#include "basilhall/gateway/internal/store_call.h"
#include "basilhall/gateway/journal_cleaner.h"
#include "basilhall/gateway/ledger_snapshot.h"
#include "basilhall/gateway/record_codec.h"
#include "basilhall/gateway/turn_index.h"
#include "basilhall/transport/signal.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;

namespace
{

// Maximum number of batches of one journal that are read concurrently. The batches of up to
// LedgerSchedule::kMaxInterval, 25 a second, follow the last ledger.
constexpr std::size_t kReadWindow = 8;
// Maximum number of journals, and of batches of all chains, that are read concurrently.
constexpr std::size_t kConcurrentReads = 32;
// Interval at which open journals are read in any case; their writers keep batches for four times
// as long.
constexpr Duration kOpenJournalInterval = std::chrono::seconds(30);
// Pause after a failed read. Calls within it fail at once, so that requests are refused instead of
// waiting for one time limit of the object API after the other.
constexpr Duration kFailedReadPause = std::chrono::milliseconds(500);
// Maximum number of chains whose content is read concurrently.
constexpr std::size_t kConcurrentChains = 32;
// Part of the memory for kept turns that chains which are being read may use before further chains
// wait. The rest is for the batches that are on their way.
constexpr std::size_t kChainMemoryPart = 4;

} // namespace

class JournalReader::Private : public std::enable_shared_from_this<JournalReader::Private>
{
public:
    Private(const asio::any_io_executor &e, StoreAccess a, FleetState &s, logging::Log l)
        : executor(e)
        , access(std::move(a))
        , state(s)
        , log(std::move(l))
        , chainReads(
              e, access, [this](const store::Object &object) { addTurns(object); },
              kConcurrentReads)
        , chainEnded(e)
        , refreshed(e)
    {
    }

    using Notes = std::map<Incarnation, std::uint64_t>;

    static Instant now() { return MonotonicClock().now(); }

    asio::awaitable<store::Outcome> execute(store::Request request) const
    {
        return executeCall(executor, access, std::move(request));
    }

    // Reads all batches of all journals.
    static asio::awaitable<Result<void>> readBatches(std::shared_ptr<Private> self)
    {
        store::List all{journal::kJournalKind, ""};
        const store::Outcome outcome = co_await self->execute(std::move(all));
        if (!outcome) {
            co_return outcome.error();
        }
        for (const store::Object &object : outcome.value()) {
            if (const auto batch = self->addBatch(object)) {
                self->ranges.onAllRead(batch->first, batch->second);
            }
        }
        co_return success();
    }

    // Adds a turn of a batch, and its content if there is room and hosts of this failure domain may
    // hold it.
    void addTurn(const journal::TurnKept &record, const journal::Batch &batch)
    {
        turns::KeptTurn turn = fromRecord(record);
        state.turns().addStored(turn.id,
                                {Incarnation(batch.incarnation()), batch.number(), turn.previous,
                                 turn.keptUntil, turn.allowedRegions});
        if (state.mayHold(turn.allowedRegions) && state.turns().hasRoomFor(turn)) {
            state.turns().add(std::move(turn));
        }
    }

    // Returns the journal and the number of the batch.
    std::optional<std::pair<Incarnation, journal::BatchNumber>>
    addBatch(const store::Object &object)
    {
        const Result<journal::Batch> batch = journal::decodeBatch(object.key, object.data);
        if (!batch) {
            log.warning("Skipped a journal batch that cannot be decoded.",
                        Field("reason", batch.error()));
            return std::nullopt;
        }
        BatchContent content{spendingKeptUntil(), {}};
        for (const journal::Record &record : batch.value().records()) {
            if (record.has_turn_kept()) {
                content.keptUntil =
                    std::max(content.keptUntil, record.turn_kept().kept_until_wall_ms());
                content.turns.emplace_back(record.turn_kept().turn_id());
                addTurn(record.turn_kept(), batch.value());
            } else if (record.has_program_spend()) {
                state.budgets().onJournalReport(Incarnation(record.program_spend().incarnation()),
                                                fromRecord(record.program_spend()), now());
            } else if (record.has_stream_begun()) {
                state.origins().add(fromRecord(record.stream_begun()));
            }
        }
        const Incarnation incarnation(batch.value().incarnation());
        cleaner.onBatch(incarnation, batch.value().number(), std::move(content));
        return std::pair(incarnation, batch.value().number());
    }

    struct Ledgers {
        std::vector<LedgerSnapshot> snapshots;
        // True if a ledger could not be decoded, so that its journal is not listed.
        bool hasDamaged = false;

        bool contains(const Incarnation &incarnation) const
        {
            return std::any_of(snapshots.begin(), snapshots.end(),
                               [&incarnation](const LedgerSnapshot &snapshot) {
                                   return snapshot.incarnation == incarnation;
                               });
        }
    };

    // Reads the ledgers of all incarnations. Each states the last batch that it includes.
    static asio::awaitable<Result<Ledgers>> readLedgers(std::shared_ptr<Private> self)
    {
        store::List all{kLedgerKind, ""};
        const store::Outcome outcome = co_await self->execute(std::move(all));
        if (!outcome) {
            co_return outcome.error();
        }
        Ledgers ledgers;
        for (const store::Object &object : outcome.value()) {
            Result<LedgerSnapshot> snapshot = decodeLedger(object.key, object.data);
            if (!snapshot) {
                self->log.error("Skipped a ledger that cannot be decoded.",
                                Field("reason", snapshot.error()));
                ledgers.hasDamaged = true;
            } else if (snapshot.value().incarnation != self->state.self()) {
                self->cleaner.onLedger(snapshot.value().incarnation, spendingKeptUntil());
                for (const resumption::StreamOrigin &origin : snapshot.value().streams) {
                    self->state.origins().add(origin);
                }
                ledgers.snapshots.push_back(std::move(snapshot).value());
            }
        }
        co_return ledgers;
    }

    // Executes the requests concurrently.
    asio::awaitable<std::vector<store::Outcome>> executeAll(std::vector<store::Request> requests)
    {
        auto results =
            std::make_shared<std::vector<std::optional<store::Outcome>>>(requests.size());
        auto missing = std::make_shared<std::size_t>(requests.size());
        auto done = std::make_shared<transport::Signal>(executor);
        for (std::size_t i = 0; i < requests.size(); ++i) {
            access(std::move(requests[i]), [=](const store::Outcome &outcome) {
                (*results)[i] = outcome;
                if (--*missing == 0) {
                    done->notify();
                }
            });
        }
        while (*missing > 0) {
            co_await done->wait();
        }
        std::vector<store::Outcome> outcomes;
        for (std::optional<store::Outcome> &result : *results) {
            outcomes.push_back(std::move(*result));
        }
        co_return outcomes;
    }

    // Reads the batches of one journal after `lastKnown` by name. A list request would continue
    // with the journals that follow, and most journals have no batch to read.
    static asio::awaitable<Result<void>> readJournal(std::shared_ptr<Private> self,
                                                     Incarnation incarnation,
                                                     journal::BatchNumber lastKnown)
    {
        lastKnown = self->ranges.begin(incarnation, lastKnown);
        journal::BatchNumber lastSeen = lastKnown;
        std::size_t window = 1;
        while (true) {
            std::vector<store::Request> requests;
            for (std::size_t i = 1; i <= window; ++i) {
                requests.emplace_back(store::Read{journal::batchKey(incarnation, lastKnown + i)});
            }
            lastKnown += window;
            const auto outcomes = co_await self->executeAll(std::move(requests));
            for (const store::Outcome &outcome : outcomes) {
                if (!outcome) {
                    const bool isEnd = outcome.error().kind() == ErrorKind::NotFound;
                    co_return isEnd ? Result<void>(success()) : Result<void>(outcome.error());
                }
                for (const store::Object &object : outcome.value()) {
                    (void)self->addBatch(object);
                }
                self->ranges.onRead(incarnation, ++lastSeen);
            }
            window = std::min(window * 2, kReadWindow);
        }
    }

    // Called for each journal that was read to its end, with the last batch known before.
    using OnJournalRead = std::function<void(const Incarnation &, journal::BatchNumber)>;

    // Journals that are read concurrently, each after its last known batch.
    struct JournalReads {
        explicit JournalReads(const asio::any_io_executor &executor)
            : ended(executor)
        {
        }

        std::vector<std::pair<Incarnation, journal::BatchNumber>> journals;
        std::size_t next = 0;
        std::size_t readers = 0;
        Result<void> result = success();
        OnJournalRead onRead;
        transport::Signal ended;
    };

    // Reads one journal after the other until none is left or a read fails.
    static asio::awaitable<void> runJournalReads(std::shared_ptr<Private> self,
                                                 std::shared_ptr<JournalReads> reads)
    {
        while (reads->next < reads->journals.size() && reads->result) {
            const auto journal = reads->journals[reads->next++];
            const journal::BatchNumber before =
                self->ranges.continueAfter(journal.first, journal.second);
            const Result<void> done = co_await readJournal(self, journal.first, journal.second);
            if (done) {
                reads->onRead(journal.first, before);
            } else if (reads->result) {
                reads->result = done.error();
            }
        }
        if (--reads->readers == 0) {
            reads->ended.notify();
        }
    }

    // After the loss of a holder, requests wait until the journals of all gateways are read. One
    // after the other, the journals of 25 gateways took 2.3 s.
    static asio::awaitable<Result<void>>
    readJournals(std::shared_ptr<Private> self,
                 std::vector<std::pair<Incarnation, journal::BatchNumber>> journals,
                 OnJournalRead onRead)
    {
        const auto reads = std::make_shared<JournalReads>(self->executor);
        reads->journals = std::move(journals);
        reads->onRead = std::move(onRead);
        reads->readers = std::min(reads->journals.size(), kConcurrentReads);
        const std::size_t readers = reads->readers;
        for (std::size_t i = 0; i < readers; ++i) {
            asio::co_spawn(self->executor, runJournalReads(self, reads), asio::detached);
        }
        while (reads->readers > 0) {
            co_await reads->ended.wait();
        }
        co_return reads->result;
    }

    void applySpends(const LedgerSnapshot &snapshot)
    {
        for (const auto &[incarnation, report] : snapshot.spends) {
            state.budgets().onJournalReport(incarnation, report, now());
        }
    }

    // Reads what follows the ledgers in their journals. Most have no batch to read.
    static asio::awaitable<Result<void>> readTails(std::shared_ptr<Private> self,
                                                   const std::vector<LedgerSnapshot> &snapshots)
    {
        for (std::size_t begin = 0; begin < snapshots.size(); begin += kConcurrentReads) {
            const std::size_t end = std::min(begin + kConcurrentReads, snapshots.size());
            std::vector<store::Request> requests;
            std::vector<journal::BatchNumber> first;
            for (std::size_t i = begin; i < end; ++i) {
                const LedgerSnapshot &snapshot = snapshots[i];
                first.push_back(self->ranges.continueAfter(snapshot.incarnation, snapshot.batch)
                                + 1);
                requests.emplace_back(
                    store::Read{journal::batchKey(snapshot.incarnation, first.back())});
            }
            const auto outcomes = co_await self->executeAll(std::move(requests));
            std::vector<std::pair<Incarnation, journal::BatchNumber>> unread;
            for (std::size_t i = begin; i < end; ++i) {
                const store::Outcome &outcome = outcomes[i - begin];
                if (!outcome && outcome.error().kind() == ErrorKind::NotFound) {
                    continue;
                }
                if (!outcome) {
                    co_return outcome.error();
                }
                unread.emplace_back(snapshots[i].incarnation, snapshots[i].batch);
            }
            const OnJournalRead ignore = [](const Incarnation &, journal::BatchNumber) {};
            const Result<void> done = co_await readJournals(self, std::move(unread), ignore);
            if (!done) {
                co_return done;
            }
        }
        co_return success();
    }

    // Returns the parts of the indexes of all journals; nullopt if one cannot be decoded.
    static asio::awaitable<Result<std::optional<std::vector<TurnIndexPart>>>>
    readIndexParts(std::shared_ptr<Private> self)
    {
        store::List all{kTurnIndexKind, ""};
        const store::Outcome outcome = co_await self->execute(std::move(all));
        if (!outcome) {
            co_return outcome.error();
        }
        std::vector<TurnIndexPart> parts;
        for (const store::Object &object : outcome.value()) {
            Result<TurnIndexPart> part = decodeTurnIndexPart(object.key, object.data);
            if (!part) {
                self->log.error("Part of the index of a journal cannot be decoded.",
                                Field("reason", part.error()));
                co_return std::optional<std::vector<TurnIndexPart>>();
            }
            parts.push_back(std::move(part).value());
        }
        co_return std::optional(std::move(parts));
    }

    // Adds where the turns of the journals are stored. Returns false if an index is incomplete.
    bool addIndexes(const std::vector<LedgerSnapshot> &snapshots,
                    const std::vector<TurnIndexPart> &parts)
    {
        std::map<Incarnation, std::map<journal::BatchNumber, BatchContent>> contents;
        std::map<Incarnation, journal::BatchNumber> lastPart;
        const auto addTurn = [&](const IndexedTurn &turn) {
            state.turns().addStored(turn.id, turn.stored);
            BatchContent &content = contents[turn.stored.journal][turn.stored.batch];
            content.keptUntil = std::max(content.keptUntil, turn.stored.keptUntil);
            content.turns.push_back(turn.id);
        };
        for (const TurnIndexPart &part : parts) {
            if (part.incarnation != state.self()) {
                std::for_each(part.turns.begin(), part.turns.end(), addTurn);
                journal::BatchNumber &last = lastPart[part.incarnation];
                last = std::max(last, part.lastBatch);
                cleaner.onIndexPart(part.incarnation, part.lastBatch);
            }
        }
        bool isComplete = true;
        for (const LedgerSnapshot &snapshot : snapshots) {
            std::for_each(snapshot.turns.begin(), snapshot.turns.end(), addTurn);
            // A part may have been removed after all batches that it lists.
            const bool hasParts = lastPart[snapshot.incarnation] >= snapshot.indexedBatch
                || snapshot.indexedBatch < snapshot.firstBatch;
            if (!snapshot.hasTurnIndex || !hasParts) {
                log.warning("The journal of a gateway has no complete index.",
                            Field("incarnation", snapshot.incarnation),
                            Field("has_index", snapshot.hasTurnIndex),
                            Field("indexed_batch", snapshot.indexedBatch),
                            Field("last_part", lastPart[snapshot.incarnation]));
                isComplete = false;
            }
        }
        for (const LedgerSnapshot &snapshot : snapshots) {
            // Batches without a turn contain spending.
            auto &known = contents[snapshot.incarnation];
            for (auto number = std::max<journal::BatchNumber>(snapshot.firstBatch, 1);
                 isComplete && number <= snapshot.batch; ++number) {
                BatchContent &content = known[number];
                content.keptUntil = std::max(content.keptUntil, spendingKeptUntil());
                cleaner.onBatch(snapshot.incarnation, number, std::move(content));
            }
        }
        return isComplete;
    }

    // Reads where all turns are stored. Returns false if an index is incomplete.
    static asio::awaitable<Result<bool>> readIndexes(std::shared_ptr<Private> self,
                                                     const Ledgers &ledgers)
    {
        const std::vector<LedgerSnapshot> &snapshots = ledgers.snapshots;
        // After the ledgers: a part is durable before the ledger that leaves out what it lists.
        const auto parts = co_await readIndexParts(self);
        if (!parts) {
            co_return parts.error();
        }
        if (ledgers.hasDamaged || !parts.value() || !self->addIndexes(snapshots, *parts.value())) {
            co_return false;
        }
        for (const LedgerSnapshot &snapshot : snapshots) {
            self->applySpends(snapshot);
            self->ranges.onAllRead(snapshot.incarnation, snapshot.batch);
        }
        const Result<void> done = co_await readTails(self, snapshots);
        if (!done) {
            co_return done.error();
        }
        co_return true;
    }

    // Adds the turns of a batch that was read for a chain. Its spending is in a ledger.
    void addTurns(const store::Object &object)
    {
        const Result<journal::Batch> batch = journal::decodeBatch(object.key, object.data);
        if (!batch) {
            log.error("A journal batch with kept turns cannot be decoded.",
                      Field("reason", batch.error()));
            return;
        }
        for (const journal::Record &record : batch.value().records()) {
            if (!record.has_turn_kept()) {
                continue;
            }
            // A caller of this gateway continues it.
            if (wanted.contains(turns::TurnId(record.turn_kept().turn_id()))) {
                state.turns().add(fromRecord(record.turn_kept()));
            } else {
                addTurn(record.turn_kept(), batch.value());
            }
        }
    }

    // One more chain may be read. What has been read of the others stays in memory until their
    // prompts are made.
    bool hasRoomForChain() const
    {
        return runningChains == 0
            || (runningChains < kConcurrentChains
                && state.turns().pinnedBytes()
                    <= state.turns().maxContentBytes() / kChainMemoryPart);
    }

    ChainContent pinChain(const turns::TurnId &id)
    {
        ++runningChains;
        return {new turns::PinnedTurns(state.turns(), state.turns().chainIds(id)),
                [weak = weak_from_this()](const turns::PinnedTurns *pinned) {
                    delete pinned;
                    if (const auto self = weak.lock()) {
                        --self->runningChains;
                        self->chainEnded.notify();
                    }
                }};
    }

    static asio::awaitable<Result<ChainContent>> readChain(std::shared_ptr<Private> self,
                                                           turns::TurnId id)
    {
        while (!self->hasRoomForChain()) {
            co_await self->chainEnded.wait();
        }
        ChainContent content = self->pinChain(id);
        const Result<void> read = co_await readMissing(self, std::move(id));
        if (!read) {
            co_return read.error();
        }
        co_return content;
    }

    static asio::awaitable<Result<void>> readMissing(std::shared_ptr<Private> self,
                                                     turns::TurnId id)
    {
        const auto missing = self->state.turns().missing(id);
        if (!missing) {
            co_return Error(ErrorKind::NotFound,
                            "it is unknown where turn \"" + id.value() + "\" is stored");
        }
        std::set<store::ObjectKey> batches;
        for (const turns::StoredTurn &stored : *missing) {
            batches.insert(journal::batchKey(stored.journal, stored.batch));
        }
        const std::vector<turns::TurnId> unknown = self->state.turns().unread(id);
        self->wanted.insert(unknown.begin(), unknown.end());
        const Result<void> read = co_await self->chainReads.read(std::move(batches));
        for (const turns::TurnId &turn : unknown) {
            self->wanted.erase(self->wanted.find(turn));
        }
        if (!read) {
            self->log.warning("Cannot read a kept turn.", Field("turn", id),
                              Field("reason", read.error()));
            co_return Error(ErrorKind::StoreUnavailable, read.error().message());
        }
        const auto unread = self->state.turns().missing(id);
        if (unread && !unread->empty()) {
            co_return Error(ErrorKind::Corrupt,
                            "the batches of the chain of turn \"" + id.value()
                                + "\" do not contain all of its turns");
        }
        co_return success();
    }

    static asio::awaitable<Result<void>> readAll(std::shared_ptr<Private> self,
                                                 RunningGateways running)
    {
        const auto unread = self->unreadJournals;
        const auto notes = self->notes;
        const std::uint64_t reloads = self->reloadsRequired;
        self->hasStartedLoadingTurns = true;
        const Result<Ledgers> ledgers = co_await readLedgers(self);
        if (!ledgers) {
            co_return ledgers.error();
        }
        const Result<bool> isIndexed = co_await readIndexes(self, ledgers.value());
        if (!isIndexed) {
            co_return isIndexed.error();
        }
        if (!isIndexed.value()) {
            const Result<void> done = co_await readBatches(self);
            if (!done) {
                co_return done;
            }
        }
        for (const LedgerSnapshot &snapshot : ledgers.value().snapshots) {
            self->ranges.onAllRead(snapshot.incarnation, snapshot.batch);
            self->open.add(snapshot.incarnation, {snapshot.host, snapshot.batch, now()});
        }
        for (const auto &[host, incarnation] : running()) {
            // The list was read after the earlier processes on these hosts had ended, or their loss
            // was noted.
            (void)self->open.onRunning(host, incarnation);
        }
        if (self->reloadsRequired != reloads) {
            co_return Error(ErrorKind::Unavailable, "turns were missed during the read");
        }
        self->hasLoadedTurns = true;
        for (const auto &[peer, lastKnown] : unread) {
            // Without a ledger, the index does not tell which batches a journal has.
            if (!isIndexed.value() || ledgers.value().contains(peer)) {
                self->onRead(peer, notes);
            }
        }
        co_return success();
    }

    // Handles that a journal was read to its end, unless it was noted again since the read began.
    void onRead(const Incarnation &peer, const Notes &notesBefore)
    {
        const auto before = notesBefore.find(peer);
        if (before != notesBefore.end() && before->second == notes[peer]) {
            unreadJournals.erase(peer);
            unreadSpending.erase(peer);
        }
    }

    // Reads the unknown batches of all unread and open journals.
    static asio::awaitable<Result<void>> readUnreadJournals(std::shared_ptr<Private> self)
    {
        const Instant startedAt = now();
        const auto notes = self->notes;
        auto journals = self->unreadJournals;
        for (const auto &[peer, journal] : self->open.journals()) {
            journals.try_emplace(peer, journal.lastKnown);
        }
        const OnJournalRead onEnd = [self, notes](const Incarnation &peer,
                                                  journal::BatchNumber before) {
            const journal::BatchNumber last = self->ranges.last(peer);
            if (last > before || self->unreadJournals.contains(peer)) {
                self->log.info("Read the journal of a gateway to its end.",
                               Field("incarnation", peer), Field("after_batch", before),
                               Field("last_batch", last), Field("open", self->open.contains(peer)));
            }
            self->onRead(peer, notes);
        };
        std::vector<std::pair<Incarnation, journal::BatchNumber>> listed(journals.begin(),
                                                                         journals.end());
        const Result<void> done = co_await readJournals(self, std::move(listed), onEnd);
        if (!done) {
            co_return done;
        }
        self->open.expire(startedAt);
        self->openReadAt = startedAt;
        co_return success();
    }

    // Reads the unread journals, one pass at a time. A call during a pass waits for the next
    // pass, so that the pass starts after the call.
    static asio::awaitable<Result<void>> refresh(std::shared_ptr<Private> self)
    {
        const std::uint64_t wanted = self->refreshesBegun + 1;
        while (self->isRefreshing) {
            co_await self->refreshed.wait();
        }
        const bool hasJustFailed =
            !self->lastRefresh && now() - self->lastRefreshAt < kFailedReadPause;
        if (self->refreshesBegun >= wanted || hasJustFailed) {
            co_return self->lastRefresh;
        }
        self->isRefreshing = true;
        ++self->refreshesBegun;
        self->lastRefresh = co_await readUnreadJournals(self);
        self->lastRefreshAt = now();
        self->isRefreshing = false;
        self->refreshed.notify();
        co_return self->lastRefresh;
    }

    asio::any_io_executor executor;
    StoreAccess access;
    FleetState &state;
    logging::Log log;
    // Tracks the objects that were read, to remove them once their writers are lost.
    JournalCleaner cleaner{state.turns()};
    // Journals that may contain unknown batches, and the last known batch of each.
    std::map<Incarnation, journal::BatchNumber> unreadJournals;
    // How often each journal was noted as unread.
    Notes notes;
    OpenJournals open;
    // Start of the last read of all open journals.
    Instant openReadAt = now();
    ReadRanges ranges;
    // Reads the content of chains.
    BatchReads chainReads;
    // The turns of the chains that are being read.
    std::multiset<turns::TurnId> wanted;
    // Number of chains whose content is being read or used.
    std::size_t runningChains = 0;
    transport::Signal chainEnded;
    // The unread journals that may contain unknown spending: their writers are lost, or were
    // reported by a peer.
    std::set<Incarnation> unreadSpending;
    bool hasLoadedTurns = false;
    bool hasStartedLoadingTurns = false;
    // Number of calls of loadTurns() that have not returned.
    std::size_t runningLoads = 0;
    // How often requireReload() was called.
    std::uint64_t reloadsRequired = 0;
    std::uint64_t refreshesBegun = 0;
    bool isRefreshing = false;
    transport::Signal refreshed;
    Result<void> lastRefresh = success();
    Instant lastRefreshAt;
};

JournalReader::JournalReader(const asio::any_io_executor &executor, StoreAccess access,
                             FleetState &state, logging::Log log)
    : d(std::make_shared<Private>(executor, std::move(access), state, std::move(log)))
{
}

JournalReader::~JournalReader() = default;

asio::awaitable<Result<void>> JournalReader::loadLedgers()
{
    const auto self = d;
    const auto ledgers = co_await Private::readLedgers(self);
    if (!ledgers) {
        co_return ledgers.error();
    }
    for (const LedgerSnapshot &snapshot : ledgers.value().snapshots) {
        self->applySpends(snapshot);
    }
    co_return co_await Private::readTails(self, ledgers.value().snapshots);
}

asio::awaitable<Result<void>> JournalReader::loadTurns(RunningGateways running)
{
    const auto self = d;
    ++self->runningLoads;
    const Result<void> done = co_await Private::readAll(self, std::move(running));
    --self->runningLoads;
    co_return done;
}

asio::awaitable<Result<JournalReader::ChainContent>> JournalReader::readChain(turns::TurnId id)
{
    const auto self = d;
    co_return co_await Private::readChain(self, std::move(id));
}

asio::awaitable<Result<void>> JournalReader::refresh()
{
    const auto self = d;
    co_return co_await Private::refresh(self);
}

asio::awaitable<bool> JournalReader::confirmAllTurns()
{
    const auto self = d;
    if (!self->hasLoadedTurns) {
        co_return false;
    }
    if (!self->unreadJournals.empty() || !self->open.isEmpty()) {
        const Result<void> read = co_await Private::refresh(self);
        if (!read) {
            co_return false;
        }
    }
    co_return self->hasLoadedTurns && self->unreadJournals.empty();
}

bool JournalReader::knowsAllTurns() const
{
    return d->hasLoadedTurns && d->unreadJournals.empty() && d->open.isEmpty();
}

void JournalReader::noteUnlisted(const Incarnation &peer, const HostName &host,
                                 std::uint64_t lastKnown)
{
    noteLostPeer(peer, lastKnown);
    d->open.add(peer, {host, lastKnown, Private::now()});
}

std::uint64_t JournalReader::noteRunning(const HostName &host, const Incarnation &peer)
{
    const OpenJournals::Change change = d->open.onRunning(host, peer);
    for (const auto &[ended, journal] : change.ended) {
        noteLostPeer(ended, journal.lastKnown);
    }
    return change.own ? change.own->lastKnown : 0;
}

bool JournalReader::isOpenReadDue() const
{
    return !d->open.isEmpty() && Private::now() - d->openReadAt > kOpenJournalInterval;
}

void JournalReader::noteLostPeer(const Incarnation &peer, std::uint64_t lastKnown)
{
    noteMissedTurns(peer, lastKnown);
    d->unreadSpending.insert(peer);
    // Its spending is needed for as long as that of a live gateway.
    d->cleaner.extendLedger(peer, spendingKeptUntil());
}

bool JournalReader::hasOpenJournals() const
{
    return !d->open.isEmpty();
}

bool JournalReader::mayMissSpending() const
{
    return !d->unreadSpending.empty();
}

bool JournalReader::mayMissSpendingOf(const Incarnation &home) const
{
    return mayMissSpending() || d->open.contains(home);
}

void JournalReader::noteMissedTurns(const Incarnation &peer, std::uint64_t lastKnown)
{
    lastKnown = d->ranges.continueAfter(peer, lastKnown);
    const auto [at, isNew] = d->unreadJournals.emplace(peer, lastKnown);
    at->second = std::min(at->second, lastKnown);
    ++d->notes[peer];
}

const std::map<Incarnation, std::uint64_t> &JournalReader::unreadJournals() const
{
    return d->unreadJournals;
}

bool JournalReader::hasLoadedTurns() const
{
    return d->hasLoadedTurns;
}

bool JournalReader::isLoadingTurns() const
{
    return d->runningLoads > 0;
}

bool JournalReader::hasStartedLoadingTurns() const
{
    return d->hasStartedLoadingTurns;
}

void JournalReader::requireReload()
{
    d->hasLoadedTurns = false;
    d->hasStartedLoadingTurns = false;
    // Turns that were read may be dropped before the turns that continue them are known.
    d->ranges = ReadRanges();
    ++d->reloadsRequired;
}

std::vector<store::ObjectKey>
JournalReader::expired(WallMillis now, const std::set<Incarnation> &live, std::size_t limit)
{
    return d->cleaner.expired(now, live, limit);
}

} // namespace basilhall::gateway
