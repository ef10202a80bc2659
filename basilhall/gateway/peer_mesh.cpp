#include "basilhall/gateway/peer_mesh.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/internal/peer_requests.h"
#include "basilhall/gateway/internal/update_codec.h"
#include "basilhall/gateway/journal_reader.h"
#include "basilhall/gateway/record_codec.h"
#include "basilhall/transport/server_stream.h"
#include "basilhall/transport/signal.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/transport/stream_server.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <map>
#include <unordered_set>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
const std::string kUpdatesMethod = "/updates";
const std::string kWantMethod = "/want";
// News is this old at most on a fleet of kSmallFleet; placement and limits count with it.
constexpr Duration kSmallBeat = std::chrono::milliseconds(100);
constexpr Duration::rep kSmallFleet = 6;
// Longer than this, limits would be overshot by what all gateways admit meanwhile.
constexpr Duration kLongestBeat = std::chrono::milliseconds(300);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration kReconnectPause = std::chrono::milliseconds(250);
// A peer that is silent for so many beats counts as not heard, so that limits are split in time.
constexpr int kHeardBeats = 6;
constexpr Duration kHeardAtMost = std::chrono::milliseconds(1000);
// Time for the home of a program to make a record durable and to answer.
constexpr Duration kAdmitTimeout = std::chrono::milliseconds(900);
// Time for a peer to answer from memory; the way there and back takes a few milliseconds.
constexpr Duration kAskTimeout = std::chrono::milliseconds(400);
// Time for the gateway that writes to make records durable; beyond that a gateway writes itself. A
// writer that catches up after an outage takes 200 ms a batch, and a record waits for two and a
// half: writing them once more would only add to its work.
constexpr Duration kCommitTimeout = std::chrono::milliseconds(700);
// Writers that are asked for one record: if two failure domains cannot write, the object API is
// away.
constexpr std::size_t kWriterTries = 2;
// Pause before a writer that did not take records is asked again.
constexpr Duration kWriterRetry = std::chrono::seconds(1);
// Peers that a gateway asks to write for it, if it is cut off from the object API itself.
constexpr std::size_t kRelayTries = 3;
// A process that starts is listed by all that it reaches within a few milliseconds; a second for
// one that was cut off for a moment, doubled.
constexpr Duration kListingDelay = std::chrono::seconds(2);
// A registration that is replaced so soon, by a process that restarted, was that of a process which
// had ended before this one started: the ledgers and journals hold all of it.
constexpr Duration kStaleRegistration = std::chrono::seconds(3);
// Batches of a peer are remembered for as long as the users' routes keep turns.
constexpr Duration kBatchMemory = std::chrono::seconds(60);
// Messages that wait for a slow subscriber; beyond that its stream is reset and begins anew.
constexpr std::size_t kMaxQueued = 2000;
// Processor that a gateway needs to write the journal of a large fleet besides its own work:
// reckoned for 200 records and 1 MB a second at 0.2 ms a record, doubled.
constexpr std::uint32_t kStrongMillis = 300;
// Time for a peer to send all that was spent: 200 kB for 5,000 programs, on the slowest links.
constexpr Duration kLedgerTimeout = std::chrono::milliseconds(1000);
// Times out within two beats of PING; see KeepAlive.
const transport::KeepAlive kKeepAlive{std::chrono::milliseconds(700),
                                      std::chrono::milliseconds(2100)};

std::string keepRequest(std::vector<journal::Record> records)
{
    wire::KeepRequest request;
    for (journal::Record &record : records) {
        *request.add_records() = std::move(record);
    }
    return request.SerializeAsString();
}

// One peer that wants the updates of this process.
struct Subscriber {
    explicit Subscriber(const asio::any_io_executor &executor)
        : wake(executor)
    {
    }

    std::deque<std::shared_ptr<const std::string>> queue;
    transport::Signal wake;
    Incarnation incarnation;
    bool wantsTurns = false;
    bool isGone = false;
};

struct Peer {
    Member member;
    Instant heardAt = Instant::min();
    Instant listedAt = Instant::min();
    bool isConnected = false;
    // It knows that this gateway wants turns.
    bool sendsTurns = false;
    bool isBeingTold = false;
    // Turns of its journal up to this batch have been heard.
    std::uint64_t durableBatch = 0;
    // It knows what was spent before it started.
    bool knowsLedger = false;
    // It did not make records of this gateway durable then.
    std::optional<Instant> refusedRecordsAt;
    // Its last batches, each with the time at which it was heard of.
    std::deque<std::pair<Instant, std::uint64_t>> batches;
    bool isDropped = false;
};

} // namespace

class PeerMesh::Private : public std::enable_shared_from_this<PeerMesh::Private>
{
public:
    Private(const asio::any_io_executor &e, Member s, FleetState &st, TurnKeeper &k, logging::Log l,
            PolicyHandler policyHandler, MemberHandler memberHandler)
        : executor(e)
        , self(std::move(s))
        , state(st)
        , keeper(k)
        , log(std::move(l))
        , onPolicy(std::move(policyHandler))
        , onMember(std::move(memberHandler))
        , requests(
              st, k, log, [this] { return hearsAllTurns(); }, [this] { flush(); },
              [this] { return journalMarks(); })
        , client(e, kKeepAlive)
    {
    }

    static Instant now() { return MonotonicClock().now(); }

    void listen()
    {
        server = std::make_unique<transport::StreamServer>(
            executor, self.address,
            [weak = weak_from_this()](std::shared_ptr<transport::ServerStream> stream) {
                return handle(weak.lock(), std::move(stream));
            },
            kKeepAlive);
        self.address = server->address();
    }

    static asio::awaitable<void> handle(std::shared_ptr<Private> self,
                                        std::shared_ptr<transport::ServerStream> stream)
    {
        if (!self) {
            co_return;
        }
        if (stream->method() == kUpdatesMethod) {
            co_await serveUpdates(self, stream);
        } else if (stream->method() == kWantMethod) {
            co_await self->serveWant(stream);
        } else {
            co_await self->requests.serve(stream);
        }
    }

    static asio::awaitable<void> serveUpdates(std::shared_ptr<Private> self,
                                              std::shared_ptr<transport::ServerStream> stream)
    {
        wire::Subscribe request;
        if (!request.ParseFromString(stream->request())) {
            self->log.warning("Dropped a malformed request of a peer.");
            co_return;
        }
        const Result<Member> member = fromWire(request.member());
        if (member) {
            // A host that is cut off from the object API learns of new peers by this alone.
            self->onMember(member.value());
        }
        const auto subscriber = std::make_shared<Subscriber>(self->executor);
        subscriber->incarnation = Incarnation(request.member().incarnation());
        subscriber->wantsTurns = request.wants_turns();
        stream->onCancelled([weak = std::weak_ptr<Subscriber>(subscriber)] {
            if (const auto alive = weak.lock()) {
                alive->isGone = true;
                alive->wake.notify();
            }
        });
        self->subscribers.insert(subscriber);
        subscriber->queue.push_back(self->firstUpdate());
        while (!subscriber->isGone) {
            if (subscriber->queue.empty()) {
                co_await subscriber->wake.wait();
                continue;
            }
            const auto message = subscriber->queue.front();
            subscriber->queue.pop_front();
            const Result<void> sent = co_await stream->send(*message);
            if (!sent) {
                break;
            }
        }
        self->subscribers.erase(subscriber);
    }

    asio::awaitable<void> serveWant(std::shared_ptr<transport::ServerStream> stream)
    {
        wire::WantRequest request;
        if (!request.ParseFromString(stream->request())) {
            log.warning("Dropped a malformed request of a peer.");
            co_return;
        }
        for (const auto &subscriber : subscribers) {
            if (subscriber->incarnation.value() == request.incarnation()) {
                subscriber->wantsTurns = request.wants_turns();
            }
        }
        wire::WantReply reply;
        reply.set_incarnation(self.incarnation.value());
        const Result<void> sent = co_await stream->send(reply.SerializeAsString());
        if (sent) {
            (void)co_await stream->finish();
        }
    }

    // Tells a peer whether this gateway wants turns.
    static asio::awaitable<void> tellWant(std::shared_ptr<Private> self, std::shared_ptr<Peer> peer)
    {
        wire::WantRequest request;
        request.set_incarnation(self->self.incarnation.value());
        request.set_wants_turns(self->isHolder);
        const bool wanted = self->isHolder;
        peer->isBeingTold = true;
        const auto message = co_await self->askOnce(peer->member.address, kWantMethod,
                                                    request.SerializeAsString(), kAskTimeout);
        peer->isBeingTold = false;
        wire::WantReply reply;
        if (message && reply.ParseFromString(*message)
            && reply.incarnation() == peer->member.incarnation.value()) {
            peer->sendsTurns = wanted;
            // What it announced until then went to others only.
            self->noteMissedTurns(*peer, peer->durableBatch, now() - kListingDelay);
        }
    }

    // Takes note of whether this gateway is a holder now, and tells the peers.
    void updateHolder()
    {
        const bool shouldHold = isHolderAmong(self);
        if (shouldHold != isHolder) {
            isHolder = shouldHold;
            log.info(isHolder ? logging::Literal("Holds the turns of all gateways.")
                              : logging::Literal("Holds its own turns alone."),
                     Field("members", peers.size() + 1));
            keeper.reader().forgetRead();
        }
        for (const auto &[host, peer] : peers) {
            if (peer->isConnected && peer->sendsTurns != isHolder && !peer->isBeingTold) {
                asio::co_spawn(executor, tellWant(shared_from_this(), peer), asio::detached);
            }
        }
    }

    bool isHolderAmong(const Member &member) const
    {
        const auto isStronger = [&member](const Member &other) {
            return other.failureDomain == member.failureDomain && other.host != member.host
                && isBefore(other, member);
        };
        if (isStronger(self)) {
            return false;
        }
        return std::none_of(peers.begin(), peers.end(), [&isStronger](const auto &entry) {
            return isStronger(entry.second->member);
        });
    }

    // Hears every turn that a gateway keeps.
    bool hearsAllTurns() const
    {
        return isHolder && std::all_of(peers.begin(), peers.end(), [](const auto &entry) {
                   return entry.second->isConnected && entry.second->sendsTurns;
               });
    }

    // All peers, in the order in which one that holds a turn is found soonest.
    std::vector<std::shared_ptr<Peer>> likelyHolders() const
    {
        std::vector<std::shared_ptr<Peer>> sorted;
        for (const auto &[host, peer] : peers) {
            sorted.push_back(peer);
        }
        const auto distance = [this](const std::shared_ptr<Peer> &peer) {
            const bool isNear = peer->member.failureDomain == self.failureDomain;
            return isHolderAmong(peer->member) ? (isNear ? 0 : 1) : 2;
        };
        std::stable_sort(sorted.begin(), sorted.end(),
                         [&](const auto &a, const auto &b) { return distance(a) < distance(b); });
        return sorted;
    }

    // Sends one request and returns its one reply, if it comes in time.
    asio::awaitable<std::optional<std::string>> askOnce(Address address, std::string method,
                                                        std::string request, Duration timeout)
    {
        auto stream =
            co_await client.open(address, std::move(method), std::move(request), kConnectTimeout);
        if (!stream) {
            co_return std::nullopt;
        }
        asio::steady_timer alarm(executor, timeout);
        const auto open = std::shared_ptr<transport::ClientStream>(std::move(stream).value());
        alarm.async_wait([open](boost::system::error_code error) {
            if (!error) {
                open->cancel();
            }
        });
        auto message = co_await open->next();
        if (!message) {
            co_return std::nullopt;
        }
        co_return std::move(message).value();
    }

    // The holder that is to be the home of a program that has none: every gateway that hears the
    // same peers chooses the same. nullptr if it is this gateway, also if it hears no holder.
    std::shared_ptr<Peer> heir(const ProgramId &program) const
    {
        std::shared_ptr<Peer> best;
        std::optional<std::size_t> bestRank;
        if (isHolder) {
            bestRank = rank(program, self.host);
        }
        for (const auto &[host, peer] : peers) {
            if (peer->isConnected && peer->knowsLedger && isHolderAmong(peer->member)
                && (!bestRank || rank(program, host) > *bestRank)) {
                best = peer;
                bestRank = rank(program, host);
            }
        }
        return best;
    }

    static std::size_t rank(const ProgramId &program, const HostName &host)
    {
        return std::hash<std::string>()(program.value() + "/" + host.value());
    }

    std::shared_ptr<Peer> peerOf(const Incarnation &incarnation) const
    {
        for (const auto &[host, peer] : peers) {
            if (peer->member.incarnation == incarnation && peer->isConnected) {
                return peer;
            }
        }
        return nullptr;
    }

    asio::awaitable<Result<turns::Admission>> ask(std::shared_ptr<Peer> peer,
                                                  turns::TurnBudget turn)
    {
        wire::AdmitRequest request;
        request.set_asker_incarnation(self.incarnation.value());
        request.set_program_id(turn.program.value());
        request.set_team(turn.team.value());
        request.set_budget_tokens(turn.budget);
        request.set_most_tokens(turn.maxTokens);
        const auto message = co_await askOnce(peer->member.address, kAdmitMethod,
                                              request.SerializeAsString(), kAdmitTimeout);
        wire::AdmitReply reply;
        if (!message || !reply.ParseFromString(*message)) {
            co_return Error(ErrorKind::Unavailable, "the program's home does not answer");
        }
        switch (reply.verdict()) {
        case wire::ADMIT_VERDICT_ADMITTED:
            co_return turns::Admission::Admitted;
        case wire::ADMIT_VERDICT_EXHAUSTED:
            co_return turns::Admission::Exhausted;
        case wire::ADMIT_VERDICT_ELSEWHERE:
            co_return turns::Admission::Elsewhere;
        default:
            co_return Error(ErrorKind::Unavailable, "the program's home cannot admit a turn now");
        }
    }

    wire::Update newUpdate() const
    {
        wire::Update update;
        update.set_incarnation(self.incarnation.value());
        update.set_durable_batch(keeper.durableBatch());
        // Without the object API, it cannot learn what a lost home wrote last.
        update.set_knows_ledger(keeper.isLoaded()
                                && (!keeper.reader().mayMissSpending()
                                    || keeper.storeFailingFor() == Duration::zero()));
        return update;
    }

    std::shared_ptr<const std::string> firstUpdate() const
    {
        wire::Update update = newUpdate();
        for (const turns::SpendReport &report : state.budgets().localReports()) {
            addSpend(update, self.incarnation, report);
        }
        if (policy.version > 0) {
            update.mutable_policy()->set_version(policy.version);
            update.mutable_policy()->set_document(policy.document);
        }
        return std::make_shared<const std::string>(update.SerializeAsString());
    }

    void broadcast(const wire::Update &update)
    {
        const auto message = std::make_shared<const std::string>(update.SerializeAsString());
        for (const auto &subscriber : subscribers) {
            if (update.turns_size() > 0 && !subscriber->wantsTurns) {
                continue;
            }
            if (subscriber->queue.size() >= kMaxQueued) {
                subscriber->isGone = true;
            } else {
                subscriber->queue.push_back(message);
            }
            subscriber->wake.notify();
        }
    }

    void flush()
    {
        wire::Update update = newUpdate();
        addNews(state, update);
        broadcast(update);
        updateShare();
        updateHolder();
    }

    bool isConnectedToAll() const
    {
        for (const auto &[host, peer] : peers) {
            if (!peer->isConnected) {
                return false;
            }
        }
        return true;
    }

    Duration beat() const
    {
        const auto members = static_cast<Duration::rep>(peers.size() + 1);
        return std::clamp<Duration>(kSmallBeat * members / kSmallFleet, kSmallBeat, kLongestBeat);
    }

    bool isHeard(const Peer &peer) const
    {
        return peer.isConnected
            && now() - peer.heardAt <= std::min<Duration>(kHeardBeats * beat(), kHeardAtMost);
    }

    void updateShare()
    {
        std::size_t heard = 0;
        for (const auto &[host, peer] : peers) {
            heard += isHeard(*peer) ? 1 : 0;
        }
        state.setLimitShare(static_cast<std::uint32_t>(heard + 1),
                            static_cast<std::uint32_t>(peers.size() + 1), now());
    }

    // Reads the updates of one member until it is dropped.
    static asio::awaitable<void> follow(std::shared_ptr<Private> self, std::shared_ptr<Peer> peer)
    {
        asio::steady_timer pause(self->executor);
        while (!peer->isDropped && !self->isClosed) {
            wire::Subscribe request;
            *request.mutable_member() = toWire(self->self);
            request.set_wants_turns(self->isHolder);
            peer->sendsTurns = self->isHolder;
            auto stream = co_await self->client.open(peer->member.address, kUpdatesMethod,
                                                     request.SerializeAsString(), kConnectTimeout);
            if (stream) {
                co_await readUpdates(self, peer, *stream.value());
            }
            if (peer->isConnected) {
                peer->isConnected = false;
                peer->knowsLedger = false;
                self->log.warning("Lost a peer.", Field("peer", peer->member.host),
                                  Field("incarnation", peer->member.incarnation));
                self->state.placement().onPeerGone(peer->member.incarnation);
                self->state.budgets().onPeerLost(peer->member.incarnation);
            }
            pause.expires_after(kReconnectPause);
            (void)co_await pause.async_wait(kTuple);
        }
    }

    // What a gateway that learns the ledger here does not learn stands in later batches than these.
    PeerRequests::JournalMarks journalMarks() const
    {
        PeerRequests::JournalMarks marks = keeper.reader().lostPeers();
        marks.emplace(self.incarnation, keeper.durableBatch());
        for (const auto &[host, peer] : peers) {
            if (peer->durableBatch > 0) {
                marks.emplace(peer->member.incarnation, peer->durableBatch);
            }
        }
        return marks;
    }

    static void noteBatch(Peer &peer, std::uint64_t batch)
    {
        if (peer.batches.empty() || batch > peer.durableBatch) {
            peer.batches.emplace_back(now(), batch);
        }
        while (peer.batches.size() > 1 && peer.batches[1].first < now() - kBatchMemory) {
            peer.batches.pop_front();
        }
        peer.durableBatch = batch;
    }

    // What a peer announced, or admitted as home, since it was last heard stands in its journal, or
    // in that of the gateway that writes for it, in batches after the one that was the last then.
    // `batch` is the last of its own journal, as far as is known.
    void noteGone(const Peer &gone)
    {
        JournalReader &reader = keeper.reader();
        noteMissed(gone, std::max<std::uint64_t>(gone.durableBatch, 1), silentSince(gone),
                   [&reader](const Incarnation &writer, std::uint64_t batch) {
                       reader.noteLostPeer(writer, batch);
                   });
    }

    // The peer lives and tells its spending, but `since` then its turns went to others only.
    void noteMissedTurns(const Peer &missed, std::uint64_t batch, Instant since)
    {
        JournalReader &reader = keeper.reader();
        noteMissed(missed, batch, since, [&reader](const Incarnation &writer, std::uint64_t heard) {
            reader.noteMissedTurns(writer, heard);
        });
    }

    static Instant silentSince(const Peer &peer)
    {
        // A process tells its peers of itself before it serves its first turn.
        return peer.heardAt == Instant::min() ? peer.listedAt - kListingDelay : peer.heardAt;
    }

    template<typename Note>
    void noteMissed(const Peer &missed, std::uint64_t batch, Instant since, Note note) const
    {
        if (!isHolder) {
            // Only holders answer for others, and read all journals when they become one.
            return;
        }
        if (batch > 0) {
            note(missed.member.incarnation, missed.durableBatch);
        }
        for (const auto &[host, peer] : peers) {
            if (peer->durableBatch == 0 || peer->member == missed.member) {
                continue;
            }
            std::uint64_t last = peer->batches.front().second;
            for (const auto &[at, number] : peer->batches) {
                last = at <= since ? number : last;
            }
            note(peer->member.incarnation, last);
        }
    }

    static asio::awaitable<void> readUpdates(std::shared_ptr<Private> self,
                                             std::shared_ptr<Peer> peer,
                                             transport::ClientStream &stream)
    {
        while (!peer->isDropped && !self->isClosed) {
            const auto message = co_await stream.next();
            if (!message || !message.value()) {
                break;
            }
            wire::Update update;
            if (!update.ParseFromString(*message.value())) {
                self->log.warning("Dropped a malformed update of a peer.",
                                  Field("peer", peer->member.host));
                continue;
            }
            if (update.incarnation() != peer->member.incarnation.value()) {
                // Another process has the address; its registration is on the way.
                break;
            }
            if (!peer->isConnected) {
                peer->isConnected = true;
                if (self->keeper.reader().hasBegunToRead()) {
                    // Turns that were announced without a connection were not heard.
                    self->noteMissedTurns(*peer, update.durable_batch(), silentSince(*peer));
                }
                self->log.info("Hears a peer.", Field("peer", peer->member.host),
                               Field("incarnation", peer->member.incarnation));
            }
            peer->heardAt = now();
            peer->knowsLedger = update.knows_ledger();
            self->noteBatch(*peer, update.durable_batch());
            applyNews(update, now(), self->state);
            if (update.has_policy()) {
                self->onPolicy({update.policy().version(), update.policy().document()});
            }
        }
    }

    asio::awaitable<bool> askToKeep(Address address, std::string request, Duration timeout)
    {
        const auto message =
            co_await askOnce(std::move(address), kKeepMethod, std::move(request), timeout);
        wire::KeepReply reply;
        co_return message &&reply.ParseFromString(*message) && reply.durable();
    }

    // Holders that may write the journal of this gateway, the strongest first: any that is strong
    // enough to write for all, else those of its failure domain. nullptr stands for this gateway.
    std::vector<std::shared_ptr<Peer>> writers() const
    {
        std::vector<std::shared_ptr<Peer>> found;
        for (const auto &[host, peer] : peers) {
            const bool isNear = peer->member.failureDomain == self.failureDomain;
            const bool mayWrite = isNear || peer->member.processorMillis >= kStrongMillis;
            if (isHeard(*peer) && mayWrite && isHolderAmong(peer->member)) {
                found.push_back(peer);
            }
        }
        if (isHolder) {
            found.push_back(nullptr);
        }
        std::sort(found.begin(), found.end(), [this](const auto &a, const auto &b) {
            return isBefore(a ? a->member : self, b ? b->member : self);
        });
        return found;
    }

    static bool isBefore(const Member &a, const Member &b)
    {
        return a.processorMillis != b.processorMillis ? a.processorMillis > b.processorMillis
                                                      : a.host < b.host;
    }

    asio::any_io_executor executor;
    Member self;
    FleetState &state;
    TurnKeeper &keeper;
    logging::Log log;
    PolicyHandler onPolicy;
    MemberHandler onMember;
    PeerRequests requests;
    transport::StreamClient client;
    std::unique_ptr<transport::StreamServer> server;
    std::map<HostName, std::shared_ptr<Peer>> peers;
    std::unordered_set<std::shared_ptr<Subscriber>> subscribers;
    PolicyDocument policy;
    bool isHolder = false;
    bool isClosed = false;
};

PeerMesh::PeerMesh(const asio::any_io_executor &executor, Member self, FleetState &state,
                   TurnKeeper &keeper, logging::Log log, PolicyHandler onPolicy,
                   MemberHandler onMember)
    : d(std::make_shared<Private>(executor, std::move(self), state, keeper, std::move(log),
                                  std::move(onPolicy), std::move(onMember)))
{
    d->listen();
}

PeerMesh::~PeerMesh()
{
    close();
}

const Member &PeerMesh::member() const
{
    return d->self;
}

void PeerMesh::setMembers(const std::vector<Member> &members)
{
    std::map<HostName, std::shared_ptr<Peer>> kept;
    for (const Member &member : members) {
        if (member.host == d->self.host) {
            continue;
        }
        const auto known = d->peers.find(member.host);
        if (known != d->peers.end() && known->second->member == member) {
            kept.emplace(member.host, known->second);
            continue;
        }
        const auto peer = std::make_shared<Peer>();
        peer->member = member;
        peer->listedAt = Private::now();
        kept.emplace(member.host, peer);
        asio::co_spawn(d->executor, Private::follow(d, peer), asio::detached);
    }
    for (const auto &[host, peer] : d->peers) {
        const auto still = kept.find(host);
        peer->isDropped = still == kept.end() || still->second != peer;
        if (peer->isDropped) {
            const bool isStale = peer->heardAt == Instant::min()
                && Private::now() - peer->listedAt < kStaleRegistration;
            if (!isStale) {
                d->noteGone(*peer);
            }
        }
    }
    d->peers = std::move(kept);
}

std::vector<HostName> PeerMesh::silentMembers(Duration silence) const
{
    std::vector<HostName> silent;
    for (const auto &[host, peer] : d->peers) {
        if (Private::now() - std::max(peer->heardAt, peer->listedAt) > silence) {
            silent.push_back(host);
        }
    }
    return silent;
}

std::size_t PeerMesh::memberCount() const
{
    return d->peers.size();
}

std::size_t PeerMesh::rank() const
{
    return static_cast<std::size_t>(
        std::count_if(d->peers.begin(), d->peers.end(),
                      [this](const auto &entry) { return entry.first < d->self.host; }));
}

bool PeerMesh::isHolder() const
{
    return d->isHolder;
}

std::size_t PeerMesh::holderCount() const
{
    std::size_t count = d->isHolder ? 1 : 0;
    for (const auto &[host, peer] : d->peers) {
        count += d->isHolderAmong(peer->member) ? 1 : 0;
    }
    return count;
}

std::size_t PeerMesh::holderRank() const
{
    std::size_t before = 0;
    for (const auto &[host, peer] : d->peers) {
        before += host < d->self.host && d->isHolderAmong(peer->member) ? 1 : 0;
    }
    return before;
}

Duration PeerMesh::beat() const
{
    return d->beat();
}

std::set<Incarnation> PeerMesh::liveIncarnations() const
{
    std::set<Incarnation> live{d->self.incarnation};
    for (const auto &[host, peer] : d->peers) {
        live.insert(peer->member.incarnation);
    }
    return live;
}

std::size_t PeerMesh::heardCount() const
{
    std::size_t heard = 0;
    for (const auto &[host, peer] : d->peers) {
        heard += d->isHeard(*peer) ? 1 : 0;
    }
    return heard;
}

void PeerMesh::announce(const journal::TurnKept &turn)
{
    wire::Update update = d->newUpdate();
    *update.add_turns() = turn;
    d->broadcast(update);
}

void PeerMesh::publish(PolicyDocument document)
{
    d->policy = std::move(document);
    wire::Update update = d->newUpdate();
    update.mutable_policy()->set_version(d->policy.version);
    update.mutable_policy()->set_document(d->policy.document);
    d->broadcast(update);
}

void PeerMesh::flush()
{
    d->flush();
}

asio::awaitable<TurnSearch> PeerMesh::findTurn(turns::TurnId id)
{
    const auto self = d;
    wire::TurnRequest request;
    request.set_turn_id(id.value());
    const std::string bytes = request.SerializeAsString();
    const std::vector<std::shared_ptr<Peer>> asked = self->likelyHolders();
    bool haveAllAnswered = true;
    bool isOneComplete = self->keeper.reader().knowsAllTurns() && self->hearsAllTurns();
    HostName complete = self->self.host;
    for (const auto &peer : asked) {
        std::optional<std::string> message;
        if (peer->isConnected) {
            message = co_await self->askOnce(peer->member.address, kTurnMethod, bytes, kAskTimeout);
        }
        wire::TurnReply reply;
        // A process that has just started there knows nothing of what its predecessor kept.
        if (!message || !reply.ParseFromString(*message)
            || reply.incarnation() != peer->member.incarnation.value()) {
            haveAllAnswered = false;
            continue;
        }
        if (reply.complete() && !isOneComplete) {
            isOneComplete = true;
            complete = peer->member.host;
        }
        for (const journal::TurnKept &turn : reply.turns()) {
            self->keeper.learn(turn);
        }
        if (reply.turns_size() > 0) {
            co_return TurnSearch::Found;
        }
    }
    if (!haveAllAnswered) {
        co_return TurnSearch::Unsure;
    }
    self->log.info("No peer knows a turn.", Field("turn", id), Field("asked", asked.size()),
                   Field("complete", isOneComplete), Field("holder", complete));
    co_return isOneComplete ? TurnSearch::Unknown : TurnSearch::UnknownToPeers;
}

bool PeerMesh::isConnectedToAll() const
{
    return d->isConnectedToAll();
}

bool PeerMesh::isToldOfTurns() const
{
    return d->isHolder && std::all_of(d->peers.begin(), d->peers.end(), [](const auto &entry) {
               return !entry.second->isConnected || entry.second->sendsTurns;
           });
}

asio::awaitable<bool> PeerMesh::learnLedger()
{
    const auto self = d;
    wire::LedgerRequest request;
    request.set_incarnation(self->self.incarnation.value());
    const std::string bytes = request.SerializeAsString();
    const std::vector<std::shared_ptr<Peer>> asked = self->likelyHolders();
    for (const auto &peer : asked) {
        if (!peer->isConnected || !peer->knowsLedger || !self->isHolderAmong(peer->member)) {
            continue;
        }
        const auto message =
            co_await self->askOnce(peer->member.address, kLedgerMethod, bytes, kLedgerTimeout);
        wire::LedgerReply reply;
        if (!message || !reply.ParseFromString(*message) || !reply.has_ledger()) {
            continue;
        }
        for (const wire::JournalMark &mark : reply.journals()) {
            self->keeper.reader().noteLostPeer(Incarnation(mark.incarnation()), mark.batch());
        }
        for (const journal::ProgramSpend &spend : reply.ledger().spends()) {
            self->state.budgets().onJournalReport(Incarnation(spend.incarnation()),
                                                  fromRecord(spend), Private::now());
        }
        self->log.info("Learned the ledger from a peer.", Field("peer", peer->member.host),
                       Field("programs", reply.ledger().spends_size()));
        co_return true;
    }
    co_return false;
}

asio::awaitable<CommitOutcome> PeerMesh::commit(std::vector<journal::Record> records)
{
    const auto self = d;
    const std::vector<std::shared_ptr<Peer>> writers = self->writers();
    if (writers.empty()) {
        co_return CommitOutcome::OwnTask;
    }
    const std::string request = keepRequest(std::move(records));
    std::size_t tries = 0;
    for (const auto &writer : writers) {
        if (!writer) {
            co_return CommitOutcome::OwnTask;
        }
        if (writer->refusedRecordsAt && Private::now() - *writer->refusedRecordsAt < kWriterRetry) {
            continue;
        }
        if (++tries > kWriterTries) {
            break;
        }
        const bool isDurable =
            co_await self->askToKeep(writer->member.address, request, kCommitTimeout);
        if (isDurable) {
            co_return CommitOutcome::Durable;
        }
        writer->refusedRecordsAt = Private::now();
        self->log.info("A gateway that writes the journal did not take records.",
                       Field("peer", writer->member.host));
    }
    co_return CommitOutcome::Failed;
}

asio::awaitable<bool> PeerMesh::relay(std::vector<journal::Record> records)
{
    const auto self = d;
    const std::string bytes = keepRequest(std::move(records));
    std::vector<Address> addresses;
    for (const auto &peer : self->likelyHolders()) {
        if (self->isHeard(*peer) && addresses.size() < kRelayTries) {
            addresses.push_back(peer->member.address);
        }
    }
    for (const Address &address : addresses) {
        if (co_await self->askToKeep(address, bytes, kAskTimeout)) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<Result<turns::Admission>> PeerMesh::askHome(turns::TurnBudget turn)
{
    const auto self = d;
    std::shared_ptr<Peer> home = self->peerOf(self->state.budgets().home(turn.program));
    if (!home) {
        home = self->heir(turn.program);
    }
    if (!home && !self->isHolder) {
        co_return Error(ErrorKind::Unavailable, "no gateway that may be a home is heard");
    }
    if (!home) {
        if (self->keeper.reader().mayMissSpending()) {
            // The home that is gone may have written what was not heard.
            if (!self->keeper.isKeeping()) {
                co_return Error(ErrorKind::StoreUnavailable, "journals cannot be read now");
            }
            const Result<void> read = co_await self->keeper.reader().refresh();
            if (!read) {
                co_return read.error();
            }
        }
        self->state.budgets().claim(turn.program, Private::now());
        co_return turns::Admission::Elsewhere;
    }
    co_return co_await self->ask(home, std::move(turn));
}

void PeerMesh::close()
{
    d->isClosed = true;
    for (const auto &[host, peer] : d->peers) {
        peer->isDropped = true;
    }
    d->client.close();
    if (d->server) {
        d->server->close();
    }
}

} // namespace basilhall::gateway
