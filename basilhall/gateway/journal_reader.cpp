#include "basilhall/gateway/journal_reader.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/internal/kept_time.h"
#include "basilhall/gateway/journal_janitor.h"
#include "basilhall/gateway/ledger_snapshot.h"
#include "basilhall/gateway/record_codec.h"
#include "basilhall/transport/signal.h"

#include <algorithm>
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

// Batches of one journal that are read at once; a journal's end is 2 s of 25 batches at most.
constexpr std::size_t kReadWindow = 8;

} // namespace

class JournalReader::Private : public std::enable_shared_from_this<JournalReader::Private>
{
public:
    Private(const asio::any_io_executor &e, StoreAccess a, FleetState &s, logging::Log l)
        : executor(e)
        , access(std::move(a))
        , state(s)
        , log(std::move(l))
        , refreshed(e)
    {
    }

    static Instant now() { return MonotonicClock().now(); }

    asio::awaitable<store::Outcome> execute(store::Request request)
    {
        auto result = std::make_shared<std::optional<store::Outcome>>();
        auto done = std::make_shared<transport::Signal>(executor);
        access(std::move(request), [result, done](const store::Outcome &outcome) {
            *result = outcome;
            done->notify();
        });
        while (!*result) {
            co_await done->wait();
        }
        co_return std::move(**result);
    }

    // Reads batches from the object API: of one incarnation after what is known, or all.
    static asio::awaitable<Result<void>> read(std::shared_ptr<Private> self, store::List list)
    {
        const store::Outcome outcome = co_await self->execute(std::move(list));
        if (!outcome) {
            co_return outcome.error();
        }
        for (const store::Object &object : outcome.value()) {
            self->take(object);
        }
        co_return success();
    }

    void take(const store::Object &object)
    {
        const Result<journal::Batch> batch = journal::decodeBatch(object.key, object.data);
        if (!batch) {
            log.warning("Skipped a journal batch.", Field("reason", batch.error()));
            return;
        }
        BatchContent content{spendingKeptUntil(), {}};
        for (const journal::Record &record : batch.value().records()) {
            if (record.has_turn_kept()) {
                content.keptUntil =
                    std::max(content.keptUntil, record.turn_kept().kept_until_wall_ms());
                content.turns.emplace_back(record.turn_kept().turn_id());
                state.turns().add(fromRecord(record.turn_kept()));
            } else if (record.has_program_spend()) {
                state.budgets().onJournalReport(Incarnation(record.program_spend().incarnation()),
                                                fromRecord(record.program_spend()), now());
            }
        }
        janitor.onBatch(Incarnation(batch.value().incarnation()), batch.value().number(),
                        std::move(content));
    }

    // Reads the ledgers of all incarnations; each tells up to which batch it counts.
    static asio::awaitable<Result<std::vector<LedgerSnapshot>>>
    readLedgers(std::shared_ptr<Private> self)
    {
        store::List all{kLedgerKind, ""};
        const store::Outcome outcome = co_await self->execute(std::move(all));
        if (!outcome) {
            co_return outcome.error();
        }
        std::vector<LedgerSnapshot> snapshots;
        for (const store::Object &object : outcome.value()) {
            Result<LedgerSnapshot> snapshot = decodeLedger(object.key, object.data);
            if (!snapshot) {
                self->log.error("Skipped a ledger.", Field("reason", snapshot.error()));
            } else if (snapshot.value().incarnation != self->state.self()) {
                self->janitor.onLedger(snapshot.value().incarnation, spendingKeptUntil());
                snapshots.push_back(std::move(snapshot).value());
            }
        }
        co_return snapshots;
    }

    // Executes the requests at once.
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

    // Reads the batches of one journal after `heard`, by their names: a list goes on with the
    // journals after it, and most have none to read.
    static asio::awaitable<Result<void>>
    readJournal(std::shared_ptr<Private> self, Incarnation incarnation, journal::BatchNumber heard)
    {
        const auto last = self->lastRead.emplace(incarnation, heard).first;
        last->second = std::max(last->second, heard);
        heard = last->second;
        std::size_t window = 1;
        while (true) {
            std::vector<store::Request> requests;
            for (std::size_t i = 1; i <= window; ++i) {
                requests.emplace_back(store::Read{journal::batchKey(incarnation, heard + i)});
            }
            heard += window;
            const auto outcomes = co_await self->executeAll(std::move(requests));
            for (const store::Outcome &outcome : outcomes) {
                if (!outcome) {
                    const bool isEnd = outcome.error().kind() == ErrorKind::NotFound;
                    co_return isEnd ? Result<void>(success()) : Result<void>(outcome.error());
                }
                for (const store::Object &object : outcome.value()) {
                    self->take(object);
                }
                ++last->second;
            }
            window = std::min(window * 2, kReadWindow);
        }
    }

    static asio::awaitable<Result<void>> readAll(std::shared_ptr<Private> self)
    {
        const auto lost = self->lostPeers;
        self->hasBegunToRead = true;
        const auto snapshots = co_await readLedgers(self);
        if (!snapshots) {
            co_return snapshots.error();
        }
        store::List all{journal::kJournalKind, ""};
        const Result<void> done = co_await read(self, std::move(all));
        if (!done) {
            co_return done;
        }
        self->hasRead = true;
        for (const auto &[peer, heard] : lost) {
            self->lostPeers.erase(peer);
            self->unreadSpending.erase(peer);
        }
        co_return success();
    }

    // Reads what was not heard of the journals of lost peers.
    static asio::awaitable<Result<void>> readLostPeers(std::shared_ptr<Private> self)
    {
        const auto lost = self->lostPeers;
        for (const auto &[peer, heard] : lost) {
            const Result<void> done = co_await readJournal(self, peer, heard);
            if (!done) {
                co_return done;
            }
            self->lostPeers.erase(peer);
            self->unreadSpending.erase(peer);
        }
        co_return success();
    }

    // Reads the journals of lost peers. One reading at a time; whoever comes while one runs waits
    // for the next, which begins later than the asking.
    static asio::awaitable<Result<void>> refresh(std::shared_ptr<Private> self)
    {
        const std::uint64_t wanted = self->refreshesBegun + 1;
        while (self->isRefreshing) {
            co_await self->refreshed.wait();
        }
        if (self->refreshesBegun >= wanted) {
            co_return self->lastRefresh;
        }
        self->isRefreshing = true;
        ++self->refreshesBegun;
        self->lastRefresh = co_await readLostPeers(self);
        self->isRefreshing = false;
        self->refreshed.notify();
        co_return self->lastRefresh;
    }

    asio::any_io_executor executor;
    StoreAccess access;
    FleetState &state;
    logging::Log log;
    // What was read of journals, for when their writers are gone.
    JournalJanitor janitor{state.turns()};
    // Peers whose memory is gone, and the last batch of each that was heard.
    std::map<Incarnation, journal::BatchNumber> lostPeers;
    // Last batch of each journal that was read one by one, after those that were known.
    std::map<Incarnation, journal::BatchNumber> lastRead;
    // Those of them that are gone, or were when a peer told of them.
    std::set<Incarnation> unreadSpending;
    bool hasRead = false;
    bool hasBegunToRead = false;
    std::uint64_t refreshesBegun = 0;
    bool isRefreshing = false;
    transport::Signal refreshed;
    Result<void> lastRefresh = success();
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
    const auto snapshots = co_await Private::readLedgers(self);
    if (!snapshots) {
        co_return snapshots.error();
    }
    for (const LedgerSnapshot &snapshot : snapshots.value()) {
        for (const auto &[incarnation, report] : snapshot.spends) {
            self->state.budgets().onJournalReport(incarnation, report, Private::now());
        }
        const Result<void> done =
            co_await Private::readJournal(self, snapshot.incarnation, snapshot.batch);
        if (!done) {
            co_return done;
        }
    }
    co_return success();
}

asio::awaitable<Result<void>> JournalReader::loadTurns()
{
    const auto self = d;
    co_return co_await Private::readAll(self);
}

asio::awaitable<Result<void>> JournalReader::refresh()
{
    const auto self = d;
    co_return co_await Private::refresh(self);
}

void JournalReader::noteLostPeer(const Incarnation &peer, std::uint64_t heard)
{
    noteMissedTurns(peer, heard);
    d->unreadSpending.insert(peer);
}

bool JournalReader::mayMissSpending() const
{
    return !d->unreadSpending.empty();
}

void JournalReader::noteMissedTurns(const Incarnation &peer, std::uint64_t heard)
{
    const auto last = d->lastRead.find(peer);
    if (last != d->lastRead.end()) {
        heard = std::max<std::uint64_t>(heard, last->second);
    }
    const auto [at, isNew] = d->lostPeers.emplace(peer, heard);
    at->second = std::min(at->second, heard);
}

const std::map<Incarnation, std::uint64_t> &JournalReader::lostPeers() const
{
    return d->lostPeers;
}

bool JournalReader::hasRead() const
{
    return d->hasRead;
}

bool JournalReader::hasBegunToRead() const
{
    return d->hasBegunToRead;
}

void JournalReader::forgetRead()
{
    d->hasRead = false;
    d->hasBegunToRead = false;
}

bool JournalReader::knowsAllTurns() const
{
    return d->hasRead && d->lostPeers.empty();
}

std::vector<store::ObjectKey>
JournalReader::expired(WallMillis now, const std::set<Incarnation> &live, std::size_t limit)
{
    return d->janitor.expired(now, live, limit);
}

} // namespace basilhall::gateway
