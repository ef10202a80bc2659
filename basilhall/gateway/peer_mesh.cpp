#include "basilhall/gateway/peer_mesh.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/document_exchange.h"
#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/internal/answer_watch.h"
#include "basilhall/gateway/internal/batch_size.h"
#include "basilhall/gateway/internal/holder_ranking.h"
#include "basilhall/gateway/internal/home_candidacy.h"
#include "basilhall/gateway/internal/home_lease.h"
#include "basilhall/gateway/internal/mesh_peer.h"
#include "basilhall/gateway/internal/offered_documents.h"
#include "basilhall/gateway/internal/origin_search.h"
#include "basilhall/gateway/internal/peer_call.h"
#include "basilhall/gateway/internal/peer_requests.h"
#include "basilhall/gateway/internal/record_commits.h"
#include "basilhall/gateway/internal/shared_reads.h"
#include "basilhall/gateway/internal/subscriber.h"
#include "basilhall/gateway/internal/suspect_codec.h"
#include "basilhall/gateway/internal/turn_announcement.h"
#include "basilhall/gateway/internal/turn_finder.h"
#include "basilhall/gateway/internal/update_codec.h"
#include "basilhall/gateway/journal_reader.h"
#include "basilhall/gateway/record_codec.h"
#include "basilhall/resumption/origin_keepers.h"
#include "basilhall/transport/server_stream.h"
#include "basilhall/transport/signal.h"
#include "basilhall/transport/stream_client.h"
#include "basilhall/transport/stream_server.h"
#include "basilhall/turns/pinned_turns.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <random>
#include <set>
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
const std::string kDocumentMethod = "/document";
const std::string kCandidateMethod = "/candidate";
// Number of gateways of each failure domain that watch the object API; a second one takes over
// without a delay if the first is lost.
constexpr std::ptrdiff_t kWatchersPerDomain = 2;
// Update interval of a fleet of up to kSmallFleetSize gateways. Placement and limits depend on
// updates that are at most this old.
constexpr Duration kMinUpdateInterval = std::chrono::milliseconds(100);
constexpr Duration::rep kSmallFleetSize = 6;
// With a longer interval, the requests that all gateways admit meanwhile would exceed the limits.
constexpr Duration kMaxUpdateInterval = std::chrono::milliseconds(300);
constexpr Duration kPeerConnectTimeout = std::chrono::milliseconds(300);
constexpr Duration kReconnectPause = std::chrono::milliseconds(250);
// A peer that sends no update for this many intervals counts as unreachable, so that the limits are
// divided in time.
constexpr int kReachableIntervals = 6;
constexpr Duration kMaxSilence = std::chrono::milliseconds(1000);
// Time limit for the home of a program to make a record durable and answer.
constexpr Duration kAdmitTimeout = std::chrono::milliseconds(900);
// Interval between reads of the journals of holders that are not connected. Turns wait for the next
// read, and each costs billed calls.
constexpr Duration kRivalReadInterval = std::chrono::milliseconds(100);
// Time limit for a peer to answer from memory; the round trip takes a few milliseconds.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(400);
// Pause before a holder that has not answered is asked again; it may be connecting to this gateway.
constexpr Duration kHolderRetryPause = std::chrono::milliseconds(40);
// Time limit for a holder to take the spending of a program, for which the end of a turn waits.
constexpr Duration kSpendTimeout = std::chrono::milliseconds(100);
// Maximum number of peers that a gateway without access to the object API asks to write for it.
constexpr std::size_t kMaxRelayPeers = 3;
// Time until all gateways know a process that has started. This takes a few milliseconds, or a
// second after a short network failure; doubled as a safety margin.
constexpr Duration kDiscoveryTime = std::chrono::seconds(2);
// A registration that is replaced by a restarted process within this time belonged to a process
// that had ended before this gateway started: the ledgers and journals contain all its records.
constexpr Duration kStaleRegistrationAge = std::chrono::seconds(3);
// Time for which the batch numbers of a peer are kept: the retention of turns on the routes in use.
constexpr Duration kBatchHistory = std::chrono::seconds(60);
// CPU limit, in thousandths of a core, from which a gateway can write the journal of a large fleet
// in addition to its other load: 200 records and 1 MB a second at 0.2 ms a record, doubled.
constexpr std::uint32_t kFleetWriterMillis = 300;
// Time limit for a peer to send its ledger: 200 kB for 5,000 programs on the slowest links.
constexpr Duration kLedgerTimeout = std::chrono::milliseconds(1000);
// Interval at which a gateway that ends checks whether its last updates were sent.
constexpr Duration kEndPollInterval = std::chrono::milliseconds(10);
// Connections time out within two PING intervals; see KeepAlive.
constexpr transport::KeepAlive kKeepAlive{std::chrono::milliseconds(700),
                                          std::chrono::milliseconds(2100)};
// Peers choose another home once their connections to this gateway have been silent for
// `silenceLimit`; what they received last may be older than its last update by a PING interval.
constexpr Duration kHomeLease = kKeepAlive.silenceLimit - kKeepAlive.pingInterval;

} // namespace

class PeerMesh::Private : public std::enable_shared_from_this<PeerMesh::Private>
{
public:
    Private(const asio::any_io_executor &e, Member s, FleetState &st, TurnKeeper &k, logging::Log l,
            DocumentHandler documentHandler, MemberHandler memberHandler,
            RefreshMembers memberRefresh)
        : executor(e)
        , self(std::move(s))
        , state(st)
        , keeper(k)
        , log(std::move(l))
        , onDocument(std::move(documentHandler))
        , onMember(std::move(memberHandler))
        , refreshMembers(std::move(memberRefresh))
        , requests(
              st, k, log, [this] { return receivesAllTurns(); }, [this] { flush(); },
              [this] { return journalMarks(); },
              [this] { return isHolder ? liveIncarnations() : std::set<Incarnation>(); },
              [this](const journal::TurnKept &turn, const std::set<Incarnation> &announcedTo) {
                  announce(turn, announcedTo);
              },
              [this] { return confirmSpending(weak_from_this()); },
              [this](const ProgramId &program) { return chooseHome(program); })
        , rivalReads(e, kRivalReadInterval, [this] { return readPartedHolders(weak_from_this()); })
        , lease(kHomeLease, now())
        , leaseConfirmations(e, kRivalReadInterval,
                             [this] { return confirmLease(weak_from_this()); })
        , client(e, kKeepAlive)
        , exchange(self.failureDomain)
        , random(std::hash<std::string>()(self.incarnation.value()))
    {
    }

    static Instant now() { return MonotonicClock().now(); }

    // Call once it is owned by a shared_ptr.
    void listen()
    {
        rankMembers();
        finder.emplace(executor, self.incarnation, turnSources(), log);
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
        } else if (stream->method() == kDocumentMethod) {
            co_await self->serveDocument(stream);
        } else if (stream->method() == kCandidateMethod) {
            co_await self->serveCandidate(stream);
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
            // For a host without access to the object API, this is the only way to discover new
            // peers.
            self->onMember(member.value());
        }
        const auto subscriber = std::make_shared<Subscriber>(self->executor);
        subscriber->incarnation = Incarnation(request.member().incarnation());
        subscriber->failureDomain = FailureDomain(request.member().failure_domain());
        subscriber->wantsTurns = request.wants_turns();
        stream->onCancelled([weak = std::weak_ptr<Subscriber>(subscriber)] {
            if (const auto alive = weak.lock()) {
                alive->isCancelled = true;
                alive->wake.notify();
            }
        });
        self->subscribers.insert(subscriber);
        subscriber->send(self->firstUpdate(subscriber->failureDomain));
        while (!subscriber->isCancelled) {
            if (subscriber->queue.empty()) {
                co_await subscriber->wake.wait();
                continue;
            }
            const auto message = subscriber->takeFirst();
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

    asio::awaitable<void> serveDocument(std::shared_ptr<transport::ServerStream> stream)
    {
        wire::DocumentRequest request;
        if (!request.ParseFromString(stream->request())) {
            log.warning("Dropped a malformed request of a peer.");
            co_return;
        }
        const wire::DocumentReply reply =
            documents.reply(static_cast<DocumentKind>(request.kind()), self.incarnation, now());
        const Result<void> sent = co_await stream->send(reply.SerializeAsString());
        if (sent) {
            (void)co_await stream->finish();
        }
    }

    asio::awaitable<void> serveCandidate(std::shared_ptr<transport::ServerStream> stream)
    {
        wire::CandidateRequest request;
        if (!request.ParseFromString(stream->request())) {
            log.warning("Dropped a malformed request of a peer.");
            co_return;
        }
        const std::shared_ptr<Peer> peer = peerOf(Incarnation(request.incarnation()));
        // A home that asks for what this gateway knows announces nothing.
        const bool isAnnouncement = request.candidacy() != 0;
        if (!peer || (isAnnouncement && !isHolderAmong(peer->member))) {
            // This gateway could not choose it, so it must not count this one as told.
            co_return;
        }
        if (isAnnouncement) {
            noteCandidacy(peer->member.incarnation, request.candidacy());
        }
        const Result<void> sent = co_await stream->send(*firstUpdate(peer->member.failureDomain));
        if (sent) {
            (void)co_await stream->finish();
        }
    }

    void noteCandidacy(const Incarnation &incarnation, std::uint64_t number)
    {
        for (const auto &[host, peer] : peers) {
            if (peer->member.incarnation == incarnation && number > peer->candidacy) {
                peer->candidacy = number;
                updateCandidacy();
            }
        }
    }

    // Announces this gateway to holders that do not know yet that it may be chosen as a home.
    void updateCandidacy()
    {
        candidacy.setEligible(canReadSpending());
        std::set<Incarnation> holders;
        for (const auto &[host, peer] : peers) {
            if (peer->mayBeHome() && peer->candidacy > 0 && isHolderAmong(peer->member)) {
                holders.insert(peer->member.incarnation);
            }
        }
        candidacy.setHolders(holders);
        if (!isHolderAmong(self)) {
            return;
        }
        for (HomeCandidacy::Announcement &announcement : candidacy.takeDue()) {
            asio::co_spawn(executor, announceCandidacy(shared_from_this(), std::move(announcement)),
                           asio::detached);
        }
    }

    static asio::awaitable<void> announceCandidacy(std::shared_ptr<Private> self,
                                                   HomeCandidacy::Announcement announcement)
    {
        wire::CandidateRequest request;
        request.set_incarnation(self->self.incarnation.value());
        request.set_candidacy(announcement.number);
        std::optional<std::string> message;
        const std::shared_ptr<Peer> peer = self->peerOf(announcement.holder);
        if (peer) {
            message = co_await self->sendRequest(peer->member.address, kCandidateMethod,
                                                 request.SerializeAsString(), kLedgerTimeout);
        }
        wire::Update update;
        if (!message || !peer->isConnected || peer->isDropped || !update.ParseFromString(*message)
            || update.incarnation() != announcement.holder.value()) {
            self->candidacy.onFailed(announcement);
            self->log.info("A holder did not acknowledge that this gateway may be a home.",
                           Field("peer", announcement.holder));
            co_return;
        }
        applyUpdate(update, now(), self->state);
        self->noteCandidacyOf(*peer, update);
        self->candidacy.onAcknowledged(announcement);
    }

    void noteCandidacyOf(Peer &peer, const wire::Update &update)
    {
        peer.knowsLedger = update.knows_ledger();
        noteCandidacy(peer.member.incarnation, update.candidacy());
    }

    // Begins to fetch the documents that are due.
    void fetchDocuments()
    {
        for (DocumentExchange::Fetch &fetch :
             exchange.dueFetches(isWatchingStore, random(), now())) {
            asio::co_spawn(executor, fetchDocument(shared_from_this(), std::move(fetch)),
                           asio::detached);
        }
    }

    static asio::awaitable<void> fetchDocument(std::shared_ptr<Private> self,
                                               DocumentExchange::Fetch fetch)
    {
        std::optional<std::string> message;
        const auto peer = self->peers.find(fetch.peer);
        if (peer != self->peers.end()) {
            wire::DocumentRequest request;
            request.set_kind(static_cast<std::uint32_t>(fetch.kind));
            message = co_await self->sendRequest(peer->second->member.address, kDocumentMethod,
                                                 request.SerializeAsString(), kRequestTimeout);
        }
        wire::DocumentReply reply;
        const bool isFetched = message && reply.ParseFromString(*message) && reply.version() > 0;
        if (isFetched && self->exchange.isNewer(fetch.kind, reply.version())) {
            self->onDocument({fetch.kind, reply.version(), reply.content(),
                              std::chrono::milliseconds(reply.age_ms())});
        }
        const auto known = self->exchange.local().find(fetch.kind);
        const bool isAccepted =
            isFetched && known != self->exchange.local().end() && known->second >= reply.version();
        self->exchange.onFetched(fetch, isAccepted, now());
        if (!isAccepted) {
            self->log.info("Could not fetch a document from a peer.", Field("peer", fetch.peer),
                           Field("kind", static_cast<std::uint32_t>(fetch.kind)),
                           Field("answered", isFetched), Field("version", reply.version()));
        }
    }

    // Number of reachable members of the failure domain that precede this one in rank and receive
    // all changes from the object API.
    std::ptrdiff_t watchersBefore() const
    {
        return std::count_if(peers.begin(), peers.end(), [this](const auto &entry) {
            const Peer &peer = *entry.second;
            return precedesInDomain(peer.member) && peer.watchesStore && isReachable(peer);
        });
    }

    bool precedesInDomain(const Member &member) const
    {
        return member.failureDomain == self.failureDomain && HolderRanking::outranks(member, self);
    }

    // True if another holder may run that is not connected: it may act as the home of programs of
    // this one.
    bool mayHaveRival() const
    {
        bool isAnyConnected = false;
        for (const auto &[host, peer] : peers) {
            if (isHolderAmong(peer->member) && !peer->hasEnded) {
                if (!peer->isConnected) {
                    return isHolder;
                }
                isAnyConnected = true;
            }
        }
        return isHolder && !isAnyConnected && keeper.reader().hasOpenJournals();
    }

    // True if another holder may have admitted turns of programs of this one that are not known
    // here: it is not connected, or was lost and its journal has not been read since.
    bool mayMissAdmissions() const
    {
        const bool isLostHolderUnread =
            lostHolders != lostHoldersRead && keeper.reader().mayMissSpending();
        return mayHaveRival() || isLostHolderUnread;
    }

    void updateMustConfirm()
    {
        state.budgets().trustTotalsUntil(mayMissAdmissions() ? Instant::min() : lease.end());
    }

    void renewLease()
    {
        const Duration gap = lease.renew(now());
        if (gap > Duration::zero()) {
            log.warning("This gateway stood still; it asks the other holders before it admits "
                        "turns of its programs.",
                        Field("for", gap));
        }
    }

    // Before this gateway admits a turn as the home of a program: makes sure that it knows what
    // other holders have admitted.
    static asio::awaitable<Result<void>> confirmSpending(std::weak_ptr<Private> weak)
    {
        const std::shared_ptr<Private> self = weak.lock();
        if (!self) {
            co_return success();
        }
        if (!self->lease.holds(now())) {
            const Result<void> confirmed = co_await self->leaseConfirmations.read();
            if (!confirmed) {
                co_return confirmed;
            }
        }
        if (self->mayMissAdmissions()) {
            const Result<void> read = co_await self->rivalReads.read();
            if (!read) {
                co_return read;
            }
        }
        if (!self->lease.holds(now())) {
            co_return Error(ErrorKind::Unavailable,
                            "this gateway stood still while it asked the other holders");
        }
        co_return success();
    }

    // After a standstill: finds the holders that have started meanwhile, and applies what each
    // connected one knows. What holders that are not connected have admitted is read later.
    static asio::awaitable<Result<void>> confirmLease(std::weak_ptr<Private> weak)
    {
        const std::shared_ptr<Private> self = weak.lock();
        if (!self) {
            co_return Error(ErrorKind::Unavailable, "the gateway has ended");
        }
        self->renewLease();
        const std::uint64_t lapses = self->lease.lapses();
        const Result<void> refreshed = co_await self->refreshMembers();
        if (!refreshed) {
            co_return refreshed;
        }
        const Instant deadline = now() + kRequestTimeout;
        std::set<Incarnation> known;
        asio::steady_timer pause(self->executor);
        while (true) {
            const bool areAllKnown = co_await fetchSpending(self, known);
            if (areAllKnown) {
                break;
            }
            if (now() >= deadline) {
                co_return Error(ErrorKind::Unavailable,
                                "a connected holder does not state what it has admitted");
            }
            pause.expires_after(kHolderRetryPause);
            (void)co_await pause.async_wait(kTuple);
        }
        self->lease.confirm(lapses, now());
        self->updateMustConfirm();
        co_return success();
    }

    // Applies the spending that the connected holders know, except of those in `known`, to which it
    // adds those that have answered. Returns true if all have.
    static asio::awaitable<bool> fetchSpending(std::shared_ptr<Private> self,
                                               std::set<Incarnation> &known)
    {
        std::vector<std::shared_ptr<Peer>> asked;
        for (const auto &[host, peer] : self->peers) {
            if (self->isHolderAmong(peer->member) && peer->isConnected && !peer->hasEnded
                && !known.contains(peer->member.incarnation)) {
                asked.push_back(peer);
            }
        }
        bool areAllKnown = true;
        for (const std::shared_ptr<Peer> &peer : asked) {
            wire::CandidateRequest request;
            request.set_incarnation(self->self.incarnation.value());
            const auto message =
                co_await self->sendRequest(peer->member.address, kCandidateMethod,
                                           request.SerializeAsString(), kRequestTimeout);
            wire::Update update;
            if (message && update.ParseFromString(*message)
                && update.incarnation() == peer->member.incarnation.value()) {
                applyUpdate(update, now(), self->state);
                known.insert(peer->member.incarnation);
            } else {
                areAllKnown = false;
            }
        }
        co_return areAllKnown;
    }

    // Reads what other holders have admitted since they are not connected, or before they were
    // lost.
    static asio::awaitable<Result<void>> readPartedHolders(std::weak_ptr<Private> weak)
    {
        const std::shared_ptr<Private> self = weak.lock();
        if (!self || !self->keeper.canPersist()
            || self->keeper.storeFailingFor() > Duration::zero()) {
            co_return Error(ErrorKind::StoreUnavailable,
                            "the object API is unavailable, so journals cannot be read");
        }
        for (const auto &[host, peer] : self->peers) {
            if (self->isHolderAmong(peer->member) && !peer->isConnected) {
                self->keeper.reader().noteLostPeer(peer->member.incarnation, peer->durableBatch);
            }
        }
        const std::uint64_t lost = self->lostHolders;
        const Result<void> read = co_await self->keeper.reader().refresh();
        if (read) {
            self->lostHoldersRead = lost;
            self->updateMustConfirm();
        }
        co_return read;
    }

    // Sends a "/want" request that states whether this gateway wants turns.
    static asio::awaitable<void> sendWant(std::shared_ptr<Private> self, std::shared_ptr<Peer> peer)
    {
        wire::WantRequest request;
        request.set_incarnation(self->self.incarnation.value());
        request.set_wants_turns(self->isHolder);
        const bool wantsTurns = self->isHolder;
        peer->isWantPending = true;
        const auto message = co_await self->sendRequest(
            peer->member.address, kWantMethod, request.SerializeAsString(), kRequestTimeout);
        peer->isWantPending = false;
        wire::WantReply reply;
        if (message && reply.ParseFromString(*message)
            && reply.incarnation() == peer->member.incarnation.value()) {
            peer->sendsTurns = wantsTurns;
            // Turns that the peer announced before were sent to other gateways only.
            self->noteMissedTurns(*peer, peer->durableBatch, now() - kDiscoveryTime);
        }
    }

    // Recomputes whether this gateway is a holder, and sends changes to the peers.
    void updateHolder()
    {
        const bool shouldHold = isHolderAmong(self);
        if (shouldHold != isHolder) {
            isHolder = shouldHold;
            log.info(isHolder
                         ? logging::Literal("Became a holder; stores the turns of all gateways.")
                         : logging::Literal("No longer a holder; stores local turns only."),
                     Field("members", peers.size() + 1));
            keeper.reader().requireReload();
        }
        for (const auto &[host, peer] : peers) {
            if (peer->isConnected && peer->sendsTurns != isHolder && !peer->isWantPending) {
                asio::co_spawn(executor, sendWant(shared_from_this(), peer), asio::detached);
            }
        }
    }

    bool isHolderAmong(const Member &member) const { return ranking.isHolder(member); }

    void rankMembers()
    {
        std::vector<const Member *> members{&self};
        for (const auto &[host, peer] : peers) {
            members.push_back(&peer->member);
        }
        ranking.setMembers(members);
    }

    // Returns the incarnations of all members, including this one.
    std::set<Incarnation> liveIncarnations() const
    {
        std::set<Incarnation> live{self.incarnation};
        for (const auto &[host, peer] : peers) {
            live.insert(peer->member.incarnation);
        }
        return live;
    }

    // True if this gateway receives every turn that any member keeps.
    bool receivesAllTurns() const
    {
        return isHolder && std::all_of(peers.begin(), peers.end(), [](const auto &entry) {
                   return entry.second->isConnected && entry.second->sendsTurns;
               });
    }

    // Returns all peers, sorted so that a turn is found early: holders in the same failure domain,
    // other holders, all others.
    std::vector<std::shared_ptr<Peer>> peersHoldersFirst() const
    {
        std::vector<std::shared_ptr<Peer>> sorted;
        for (const auto &[host, peer] : peers) {
            sorted.push_back(peer);
        }
        const auto distance = [this](const std::shared_ptr<Peer> &peer) {
            const bool isInSameDomain = peer->member.failureDomain == self.failureDomain;
            return isHolderAmong(peer->member) ? (isInSameDomain ? 0 : 1) : 2;
        };
        std::stable_sort(sorted.begin(), sorted.end(),
                         [&](const auto &a, const auto &b) { return distance(a) < distance(b); });
        return sorted;
    }

    std::vector<SearchedPeer> searchedPeers() const
    {
        std::vector<SearchedPeer> searched;
        for (const auto &[host, peer] : peers) {
            searched.push_back({peer->member.incarnation, isHolderAmong(peer->member),
                                peer->member.failureDomain == self.failureDomain});
        }
        return searched;
    }

    // Asks one peer for a turn, and adds the turns that it sends.
    static asio::awaitable<std::optional<TurnFinder::Reply>>
    askForTurn(std::shared_ptr<Private> self, Incarnation incarnation, turns::TurnId id,
               bool mayReadJournals)
    {
        const std::shared_ptr<Peer> peer = self ? self->peerOf(incarnation) : nullptr;
        if (!peer) {
            co_return std::nullopt;
        }
        // Of what was received, nothing is dropped before the whole chain is here.
        std::vector<std::unique_ptr<turns::PinnedTurns>> received;
        turns::TurnId wanted = id;
        while (true) {
            wire::TurnRequest request;
            request.set_turn_id(wanted.value());
            request.set_confirm(mayReadJournals);
            const auto message = co_await self->sendRequest(
                peer->member.address, kTurnMethod, request.SerializeAsString(), kRequestTimeout);
            wire::TurnReply reply;
            // A process that replaced the peer on its host does not know the turns of its
            // predecessor.
            if (!message || !reply.ParseFromString(*message)
                || reply.incarnation() != incarnation.value()) {
                co_return std::nullopt;
            }
            received.push_back(self->addTurns(reply));
            const bool isFound = reply.turns_size() > 0;
            if (!isFound && wanted != id) {
                co_return std::nullopt;
            }
            const std::string previous =
                isFound ? reply.turns(reply.turns_size() - 1).previous_turn_id() : std::string();
            if (previous.empty() || self->state.turns().hasWholeChain(id)) {
                co_return TurnFinder::Reply{
                    isFound, reply.complete(), {reply.members().begin(), reply.members().end()}};
            }
            // The chain is longer than a reply.
            wanted = turns::TurnId(previous);
        }
    }

    // Adds the turns of a reply; they stay in memory for as long as the returned object exists.
    std::unique_ptr<turns::PinnedTurns> addTurns(const wire::TurnReply &reply)
    {
        std::vector<turns::TurnId> ids;
        for (const journal::TurnKept &turn : reply.turns()) {
            ids.emplace_back(turn.turn_id());
        }
        auto pinned = std::make_unique<turns::PinnedTurns>(state.turns(), std::move(ids));
        for (const journal::TurnKept &turn : reply.turns()) {
            keeper.addTurn(turn);
        }
        return pinned;
    }

    static asio::awaitable<bool> confirmAllTurns(std::shared_ptr<Private> self)
    {
        if (!self || !self->keeper.reader().hasLoadedTurns()) {
            co_return false;
        }
        const bool knowsAllTurns = co_await self->keeper.reader().confirmAllTurns();
        co_return knowsAllTurns && self->receivesAllTurns();
    }

    TurnFinder::Sources turnSources()
    {
        const auto weak = weak_from_this();
        return {[weak] {
                    const auto self = weak.lock();
                    return self ? self->searchedPeers() : std::vector<SearchedPeer>();
                },
                [weak](Incarnation peer, turns::TurnId id, bool mayReadJournals) {
                    return askForTurn(weak.lock(), std::move(peer), std::move(id), mayReadJournals);
                },
                [weak] { return confirmAllTurns(weak.lock()); },
                [weak](const turns::TurnId &id) {
                    const auto self = weak.lock();
                    // The caller reads the earlier turns of the chain.
                    return self && self->state.turns().missing(id);
                }};
    }

    // Sends one request and returns the reply, if it arrives within `timeout`. Time in which this
    // host is late does not count: a peer must not do the work once more because its answer is read
    // late.
    asio::awaitable<std::optional<std::string>> sendRequest(Address address, std::string method,
                                                            std::string request, Duration timeout)
    {
        auto stream = co_await client.open(address, std::move(method), std::move(request),
                                           kPeerConnectTimeout);
        if (!stream) {
            co_return std::nullopt;
        }
        const auto open = std::shared_ptr<transport::ClientStream>(std::move(stream).value());
        AnswerWatch watch(executor, timeout, [open] { open->cancel(); });
        watch.onSent();
        auto message = co_await open->next();
        if (!message) {
            co_return std::nullopt;
        }
        co_return std::move(message).value();
    }

    // Selects the holder that becomes the home of a program without one, by rendezvous hashing: all
    // gateways that are connected to the same peers select the same. nullptr stands for this
    // gateway, also if no holder is connected. Only candidates are selected: see HomeCandidacy.
    std::shared_ptr<Peer> newHomeOf(const ProgramId &program)
    {
        std::shared_ptr<Peer> best;
        std::optional<std::size_t> bestHash;
        if (mayBeHome()) {
            bestHash = rendezvousHash(program, self.host);
        }
        for (const auto &[host, peer] : peers) {
            if (peer->mayBeHome() && isHolderAmong(peer->member)
                && (!bestHash || rendezvousHash(program, host) > *bestHash)) {
                best = peer;
                bestHash = rendezvousHash(program, host);
            }
        }
        return best;
    }

    // Without the object API, this gateway cannot read the last records of a lost home.
    bool canReadSpending() const
    {
        return keeper.knowsLedger()
            && (!keeper.reader().mayMissSpending() || keeper.storeFailingFor() == Duration::zero());
    }

    bool mayBeHome()
    {
        if (isHolder != isHolderAmong(self)) {
            updateHolder();
            updateCandidacy();
            updateMustConfirm();
        }
        candidacy.setEligible(canReadSpending());
        if (isHolder && !candidacy.isConfirmed()) {
            updateCandidacy();
        }
        return isHolder && candidacy.isConfirmed();
    }

    // The process that becomes the home of a program without one; nullopt if none may.
    std::optional<HomeCandidacy::Announcement> chooseHome(const ProgramId &program)
    {
        if (const std::shared_ptr<Peer> peer = newHomeOf(program)) {
            return HomeCandidacy::Announcement{peer->member.incarnation, peer->candidacy};
        }
        return mayBeHome()
            ? std::optional(HomeCandidacy::Announcement{self.incarnation, candidacy.number()})
            : std::nullopt;
    }

    static std::size_t rendezvousHash(const ProgramId &program, const HostName &host)
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

    asio::awaitable<Result<turns::Admission>> requestAdmission(std::shared_ptr<Peer> peer,
                                                               turns::TurnBudget turn)
    {
        wire::AdmitRequest request;
        request.set_asker_incarnation(self.incarnation.value());
        request.set_program_id(turn.program.value());
        request.set_team(turn.team.value());
        request.set_budget_tokens(turn.budget);
        request.set_most_tokens(turn.maxTokens);
        const auto message = co_await sendRequest(peer->member.address, kAdmitMethod,
                                                  request.SerializeAsString(), kAdmitTimeout);
        wire::AdmitReply reply;
        if (!message || !reply.ParseFromString(*message)) {
            co_return Error(ErrorKind::Unavailable, "the home of the program does not answer");
        }
        switch (reply.verdict()) {
        case wire::ADMIT_VERDICT_ADMITTED:
            co_return turns::Admission::Admitted;
        case wire::ADMIT_VERDICT_EXHAUSTED:
            co_return turns::Admission::Exhausted;
        case wire::ADMIT_VERDICT_ELSEWHERE:
            noteCandidacy(Incarnation(reply.chosen_incarnation()), reply.chosen_candidacy());
            co_return turns::Admission::Elsewhere;
        default:
            co_return Error(ErrorKind::Unavailable,
                            "the home of the program cannot admit a turn now");
        }
    }

    wire::Update newUpdate()
    {
        wire::Update update;
        update.set_incarnation(self.incarnation.value());
        update.set_durable_batch(reportedBatch);
        candidacy.setEligible(canReadSpending());
        update.set_knows_ledger(canReadSpending());
        update.set_candidacy(candidacy.number());
        update.set_watches_store(isWatchingStore);
        update.set_sees_outage(seesOutage());
        for (const auto &[kind, version] : exchange.local()) {
            wire::DocumentVersion &entry = *update.add_documents();
            entry.set_kind(static_cast<std::uint32_t>(kind));
            entry.set_version(version);
        }
        return update;
    }

    // Adds the places of the turns that hosts of the failure domain may hold.
    void addStored(wire::Update &update, const std::vector<IndexedTurn> &stored,
                   const FailureDomain &domain) const
    {
        for (const IndexedTurn &turn : stored) {
            const std::vector<std::string> &allowed = turn.stored.allowedRegions;
            if (allowed.empty() || state.regions().allows(allowed, domain)) {
                *update.add_stored_turns() = toWire(turn);
            }
        }
    }

    std::shared_ptr<const std::string> firstUpdate(const FailureDomain &domain)
    {
        wire::Update update = newUpdate();
        // It states a batch that the next regular update has not announced yet.
        addStored(update, keeper.storedTurns(), domain);
        update.set_durable_batch(keeper.durableBatch());
        // Its journal may contain records of peers, too.
        update.set_kept_no_turn(!keeper.hasKeptTurns() && keeper.durableBatch() == 0);
        for (const turns::SpendReport &report : state.budgets().localReports()) {
            addSpend(update, self.incarnation, report);
        }
        for (const auto &[endpoint, stated] : state.placement().limits().statements()) {
            addLimit(update, endpoint, stated, now());
        }
        addCrashSummary(state.crashes(), now(), update);
        addBodies(state.bodyCrashes().summary(), state.families(), now(), update);
        return std::make_shared<const std::string>(update.SerializeAsString());
    }

    // Sends a turn to the subscribers that store all turns, except those in `known`. Those outside
    // its allowed regions do not get its content.
    void announce(const journal::TurnKept &turn, const std::set<Incarnation> &known)
    {
        TurnAnnouncement announcement(state.regions(), newUpdate(), turn);
        for (const auto &subscriber : subscribers) {
            if (subscriber->wantsTurns && !known.contains(subscriber->incarnation)) {
                subscriber->send(announcement.messageFor(subscriber->failureDomain));
            }
        }
    }

    // Returns the gateways that announce() sends a turn to, and this one.
    std::set<Incarnation> announcedTo() const
    {
        std::set<Incarnation> incarnations{self.incarnation};
        for (const auto &subscriber : subscribers) {
            if (subscriber->wantsTurns && !subscriber->isCancelled) {
                incarnations.insert(subscriber->incarnation);
            }
        }
        return incarnations;
    }

    // Sends a regular update; to the gateways that store all turns, with the places of those that
    // have become durable.
    void broadcast(const wire::Update &update)
    {
        using Message = std::shared_ptr<const std::string>;
        const auto message = std::make_shared<const std::string>(update.SerializeAsString());
        const std::vector<IndexedTurn> stored = keeper.takeStoredTurns();
        std::map<FailureDomain, Message> withTurns;
        for (const auto &subscriber : subscribers) {
            if (stored.empty() || !subscriber->wantsTurns) {
                subscriber->send(message);
                continue;
            }
            Message &own = withTurns[subscriber->failureDomain];
            if (!own) {
                wire::Update complete = update;
                addStored(complete, stored, subscriber->failureDomain);
                own = std::make_shared<const std::string>(complete.SerializeAsString());
            }
            subscriber->send(own);
        }
    }

    std::set<HostName> connectedHosts() const
    {
        std::set<HostName> hosts;
        for (const auto &[host, peer] : peers) {
            if (peer->isConnected) {
                hosts.insert(host);
            }
        }
        return hosts;
    }

    std::shared_ptr<Subscriber> subscriberOf(const Incarnation &incarnation) const
    {
        const auto found =
            std::find_if(subscribers.begin(), subscribers.end(), [&](const auto &subscriber) {
                return subscriber->incarnation == incarnation && !subscriber->isCancelled;
            });
        return found == subscribers.end() ? nullptr : *found;
    }

    void tellOrigin(const resumption::StreamOrigin &origin)
    {
        const std::vector<std::shared_ptr<Peer>> writing = writers();
        const std::shared_ptr<Peer> writer = writing.empty() ? nullptr : writing.front();
        if (!writer) {
            keeper.recordStream(origin);
        }
        std::set<HostName> told;
        for (const HostName &host : resumption::originKeepers(origin.attempt, connectedHosts(),
                                                              resumption::kOriginCopies)) {
            told.insert(host);
        }
        if (writer) {
            told.insert(writer->member.host);
        }
        for (const HostName &host : told) {
            const std::shared_ptr<Peer> &peer = peers.at(host);
            const auto subscriber = subscriberOf(peer->member.incarnation);
            if (!subscriber) {
                continue;
            }
            wire::Update update = newUpdate();
            *(peer == writer ? update.add_streams_to_write() : update.add_streams()) =
                toRecord(origin);
            subscriber->send(std::make_shared<const std::string>(update.SerializeAsString()));
        }
    }

    static asio::awaitable<std::optional<resumption::StreamOrigin>>
    findOrigin(std::shared_ptr<Private> self, CallId attempt)
    {
        std::set<HostName> candidates = self->connectedHosts();
        candidates.insert(self->self.host);
        std::set<HostName> asked;
        for (const HostName &host :
             resumption::originKeepers(attempt, candidates, resumption::kOriginsAsked)) {
            asked.insert(host);
        }
        // Holders have read the journals of lost gateways. There is one for each failure domain.
        for (const auto &[host, peer] : self->peers) {
            if (peer->isConnected && self->isHolderAmong(peer->member)) {
                asked.insert(host);
            }
        }
        asked.erase(self->self.host);
        std::vector<Address> addresses;
        addresses.reserve(asked.size());
        for (const HostName &host : asked) {
            addresses.push_back(self->peers.at(host)->member.address);
        }
        const OriginSearch search{self->executor, self->requestFunction()};
        co_return co_await search.find(std::move(addresses), std::move(attempt));
    }

    // True while endpoints may be missing from the list because the object API fails here, or did
    // so a moment ago.
    bool seesOutage() const
    {
        const std::optional<Instant> lastFailure = keeper.lastStoreFailure();
        const bool isFailing = lastFailure && keeper.storeFailingFor() >= kStoreOutageThreshold
            && now() - *lastFailure < kRegistrationGrace;
        const std::optional<Instant> graceEnd = state.nextEndpointExpiry();
        return isFailing || (graceEnd && now() < *graceEnd);
    }

    // True if changes of a list arrive here without a long delay, from a gateway for which
    // the object API is available, and none is known to be missing. A gateway that reaches no other
    // may be cut off from the object API, too.
    bool isListLive(DocumentKind kind) const
    {
        bool isAnyReachable = peers.empty();
        bool isAnyWatching = isWatchingStore && !seesOutage();
        for (const auto &[host, peer] : peers) {
            if (isReachable(*peer)) {
                isAnyReachable = true;
                isAnyWatching = isAnyWatching || (peer->watchesStore && !peer->seesOutage);
            }
        }
        return isAnyReachable && isAnyWatching && !exchange.isBehind(kind);
    }

    void flush()
    {
        renewLease();
        state.onTick(now());
        if (isListLive(DocumentKind::Endpoints)) {
            state.noteEndpointsCurrent(now());
        }
        if (isListLive(DocumentKind::Evacuations)) {
            state.noteEvacuationsCurrent(now());
        }
        reportedBatch = keeper.durableBatch();
        wire::Update update = newUpdate();
        addChanges(state, now(), update);
        broadcast(update);
        updateLimitShare();
        state.programStarts().setRates(state.placement().carriedRates(now()), now());
        updateHolder();
        updateCandidacy();
        updateMustConfirm();
        fetchDocuments();
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

    Duration updateInterval() const
    {
        const auto members = static_cast<Duration::rep>(peers.size() + 1);
        return std::clamp<Duration>(kMinUpdateInterval * members / kSmallFleetSize,
                                    kMinUpdateInterval, kMaxUpdateInterval);
    }

    bool isReachable(const Peer &peer) const
    {
        return peer.isConnected
            && now() - peer.lastUpdateAt
            <= std::min<Duration>(kReachableIntervals * updateInterval(), kMaxSilence);
    }

    // Registered gateways count also while they are silent, since they may still send requests.
    void shareEndpointLimits()
    {
        std::set<HostName> hosts{self.host};
        for (const auto &[host, peer] : peers) {
            hosts.insert(host);
        }
        state.placement().limits().setGateways(self.host, hosts, now());
        state.shareLoans().setGateways(self.host, hosts);
    }

    void updateLimitShare()
    {
        std::size_t reachable = 0;
        for (const auto &[host, peer] : peers) {
            reachable += isReachable(*peer) ? 1 : 0;
        }
        state.setLimitShare(static_cast<std::uint32_t>(reachable + 1),
                            static_cast<std::uint32_t>(peers.size() + 1), now());
    }

    // Reads the updates of one member until it is dropped.
    static asio::awaitable<void> runSubscription(std::shared_ptr<Private> self,
                                                 std::shared_ptr<Peer> peer)
    {
        asio::steady_timer pause(self->executor);
        while (!peer->isDropped && !self->isClosed) {
            wire::Subscribe request;
            *request.mutable_member() = toWire(self->self);
            request.set_wants_turns(self->isHolder);
            peer->sendsTurns = self->isHolder;
            auto stream =
                co_await self->client.open(peer->member.address, kUpdatesMethod,
                                           request.SerializeAsString(), kPeerConnectTimeout);
            if (stream) {
                co_await readUpdates(self, peer, *stream.value());
            }
            if (peer->isConnected) {
                peer->isConnected = false;
                peer->knowsLedger = false;
                peer->candidacy = 0;
                self->updateCandidacy();
                peer->watchesStore = false;
                peer->seesOutage = false;
                self->exchange.onPeerLost(peer->member.host);
                self->log.warning("Lost a peer.", Field("peer", peer->member.host),
                                  Field("incarnation", peer->member.incarnation));
                self->state.placement().onPeerLost(peer->member.incarnation);
                self->state.budgets().onPeerLost(peer->member.incarnation);
                if (self->isHolderAmong(peer->member) && !peer->hasEnded) {
                    // Another holder may become the home of its programs before it is dropped.
                    self->recordLostPeer(*peer);
                }
                self->updateMustConfirm();
            }
            pause.expires_after(kReconnectPause);
            (void)co_await pause.async_wait(kTuple);
        }
    }

    // Returns the last known batch of each journal. Spending that the ledger of this gateway does
    // not include is in later batches.
    PeerRequests::JournalMarks journalMarks() const
    {
        PeerRequests::JournalMarks marks = keeper.reader().unreadJournals();
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
        while (peer.batches.size() > 1 && peer.batches[1].first < now() - kBatchHistory) {
            peer.batches.pop_front();
        }
        peer.durableBatch = batch;
    }

    // Records that the journals of a lost peer and of the gateways that may write for it have to be
    // read. What the peer announced, or admitted as home, after its last update is in batches that
    // follow the last one known at that time.
    void recordLostPeer(const Peer &lost)
    {
        JournalReader &reader = keeper.reader();
        if (isHolderAmong(lost.member)) {
            ++lostHolders;
        }
        noteMissed(lost, std::max<std::uint64_t>(lost.durableBatch, 1), silentSince(lost),
                   [&reader](const Incarnation &writer, std::uint64_t batch) {
                       reader.noteLostPeer(writer, batch);
                   });
    }

    // Handles that a gateway is no longer a member. It may still run: it was only silent, or could
    // not register.
    void onDropped(const Peer &lost, bool isReplaced)
    {
        log.info("A gateway is no longer a member.", Field("peer", lost.member.host),
                 Field("incarnation", lost.member.incarnation), Field("replaced", isReplaced),
                 Field("connected", lost.isConnected),
                 Field("silent", now() - std::max(lost.lastUpdateAt, lost.listedAt)));
        const bool isStale =
            lost.lastUpdateAt == Instant::min() && now() - lost.listedAt < kStaleRegistrationAge;
        if (lost.hasEnded) {
            return;
        }
        if (!isStale) {
            recordLostPeer(lost);
        }
        // A registration may be older than the process that it seems to replace, so only a
        // connection to the successor proves the end.
        if (isHolder && !(isReplaced && isStale)) {
            keeper.reader().noteUnlisted(lost.member.incarnation, lost.member.host,
                                         lost.durableBatch);
        }
    }

    // Records that turns of a live peer were missed. The peer sends its spending, but from `since`
    // on sent its turns to other gateways only. `batch` is the last known batch of its own journal.
    void noteMissedTurns(const Peer &missed, std::uint64_t batch, Instant since)
    {
        JournalReader &reader = keeper.reader();
        noteMissed(missed, batch, since,
                   [&reader](const Incarnation &writer, std::uint64_t lastKnown) {
                       reader.noteMissedTurns(writer, lastKnown);
                   });
    }

    static Instant silentSince(const Peer &peer)
    {
        // A process connects to its peers before it serves its first turn.
        return peer.lastUpdateAt == Instant::min() ? peer.listedAt - kDiscoveryTime
                                                   : peer.lastUpdateAt;
    }

    // Calls `note` with the journals that may contain missed records of a peer, and the last batch
    // of each that was known at `since`.
    template<typename Note>
    void noteMissed(const Peer &missed, std::uint64_t batch, Instant since, Note note) const
    {
        if (!isHolder) {
            // Only holders answer for others, and a gateway reads all journals when it becomes a
            // holder.
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
                // Another process uses the address; its registration will arrive.
                break;
            }
            if (!peer->isConnected) {
                peer->isConnected = true;
                peer->durableBatch = std::max(
                    peer->durableBatch,
                    self->keeper.reader().noteRunning(peer->member.host, peer->member.incarnation));
                if (self->keeper.reader().hasStartedLoadingTurns() && !update.kept_no_turn()) {
                    // Turns that were announced before the connection were missed.
                    self->noteMissedTurns(*peer, update.durable_batch(), silentSince(*peer));
                }
                self->log.info("Connected to a peer.", Field("peer", peer->member.host),
                               Field("incarnation", peer->member.incarnation));
            }
            peer->lastUpdateAt = now();
            peer->hasEnded = update.has_ended();
            self->noteCandidacyOf(*peer, update);
            self->noteBatch(*peer, update.durable_batch());
            applyUpdate(update, now(), self->state);
            if (peer->hasEnded) {
                // Others become the homes of its programs. It has no turn in flight.
                self->state.budgets().onPeerLost(peer->member.incarnation);
                self->updateCandidacy();
            }
            for (const journal::StreamBegun &stream : update.streams_to_write()) {
                self->keeper.recordStream(fromRecord(stream));
            }
            self->updateMustConfirm();
            if (update.has_policy()) {
                self->onDocument({DocumentKind::Policy,
                                  update.policy().version(),
                                  update.policy().document(),
                                  {}});
            }
            peer->watchesStore = update.watches_store();
            peer->seesOutage = update.sees_outage();
            DocumentVersions versions;
            for (const wire::DocumentVersion &entry : update.documents()) {
                versions[static_cast<DocumentKind>(entry.kind())] = entry.version();
            }
            self->exchange.onPeerVersions(peer->member.host, peer->member.failureDomain, versions,
                                          now());
            self->fetchDocuments();
        }
    }

    PeerCall requestFunction()
    {
        return [self = shared_from_this()](Address address, std::string method, std::string request,
                                           Duration timeout) {
            return self->sendRequest(std::move(address), std::move(method), std::move(request),
                                     timeout);
        };
    }

    // Returns the holders that may write the records of this gateway, in order of preference: those
    // with a CPU limit of at least kFleetWriterMillis, and those of its failure domain. nullptr
    // stands for this gateway.
    std::vector<std::shared_ptr<Peer>> writers() const
    {
        std::vector<std::shared_ptr<Peer>> found;
        for (const auto &[host, peer] : peers) {
            const bool isInSameDomain = peer->member.failureDomain == self.failureDomain;
            const bool mayWrite =
                isInSameDomain || peer->member.processorMillis >= kFleetWriterMillis;
            if (isReachable(*peer) && !peer->hasEnded && mayWrite && isHolderAmong(peer->member)) {
                found.push_back(peer);
            }
        }
        if (isHolder) {
            found.push_back(nullptr);
        }
        std::sort(found.begin(), found.end(), [this](const auto &a, const auto &b) {
            return HolderRanking::outranks(a ? a->member : self, b ? b->member : self);
        });
        return found;
    }

    asio::any_io_executor executor;
    Member self;
    FleetState &state;
    TurnKeeper &keeper;
    logging::Log log;
    DocumentHandler onDocument;
    MemberHandler onMember;
    RefreshMembers refreshMembers;
    PeerRequests requests;
    SharedReads rivalReads;
    HomeLease lease;
    SharedReads leaseConfirmations;
    // Number of holders that were lost without an announcement, and how many of these were lost
    // before the last complete read of the unread journals.
    std::uint64_t lostHolders = 0;
    std::uint64_t lostHoldersRead = 0;
    transport::StreamClient client;
    std::optional<TurnFinder> finder;
    std::unique_ptr<transport::StreamServer> server;
    std::map<HostName, std::shared_ptr<Peer>> peers;
    HolderRanking ranking;
    std::unordered_set<std::shared_ptr<Subscriber>> subscribers;
    OfferedDocuments documents;
    DocumentExchange exchange;
    std::mt19937_64 random;
    // Last batch of which all spending has been sent to the peers.
    std::uint64_t reportedBatch = 0;
    bool isWatchingStore = false;
    bool isHolder = false;
    HomeCandidacy candidacy;
    bool isClosed = false;
};

PeerMesh::PeerMesh(const asio::any_io_executor &executor, Member self, FleetState &state,
                   TurnKeeper &keeper, logging::Log log, DocumentHandler onDocument,
                   MemberHandler onMember, RefreshMembers refreshMembers)
    : d(std::make_shared<Private>(executor, std::move(self), state, keeper, std::move(log),
                                  std::move(onDocument), std::move(onMember),
                                  std::move(refreshMembers)))
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
        asio::co_spawn(d->executor, Private::runSubscription(d, peer), asio::detached);
    }
    for (const auto &[host, peer] : d->peers) {
        const auto still = kept.find(host);
        peer->isDropped = still == kept.end() || still->second != peer;
        if (peer->isDropped) {
            const bool isReplaced = still != kept.end()
                && still->second->member.incarnation != peer->member.incarnation;
            d->onDropped(*peer, isReplaced);
        }
    }
    d->peers = std::move(kept);
    d->rankMembers();
    d->shareEndpointLimits();
    d->updateCandidacy();
    d->updateMustConfirm();
}

std::vector<Member> PeerMesh::silentMembers(Duration silence) const
{
    std::vector<Member> silent;
    for (const auto &[host, peer] : d->peers) {
        if (Private::now() - std::max(peer->lastUpdateAt, peer->listedAt) > silence) {
            silent.push_back(peer->member);
        }
    }
    return silent;
}

std::size_t PeerMesh::reachableBefore() const
{
    const auto precedence = [](bool isHolder, const HostName &host) {
        return std::pair(!isHolder, host);
    };
    const auto own = precedence(d->isHolderAmong(d->self), d->self.host);
    const auto before = std::count_if(d->peers.begin(), d->peers.end(), [&](const auto &entry) {
        const Peer &peer = *entry.second;
        return d->isReachable(peer)
            && precedence(d->isHolderAmong(peer.member), peer.member.host) < own;
    });
    return static_cast<std::size_t>(before);
}

std::size_t PeerMesh::memberCount() const
{
    return d->peers.size();
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

Duration PeerMesh::updateInterval() const
{
    return d->updateInterval();
}

std::set<Incarnation> PeerMesh::liveIncarnations() const
{
    return d->liveIncarnations();
}

bool PeerMesh::hasSubscriber(const Incarnation &incarnation) const
{
    return std::any_of(
        d->subscribers.begin(), d->subscribers.end(), [&incarnation](const auto &subscriber) {
            return subscriber->incarnation == incarnation && !subscriber->isCancelled;
        });
}

std::size_t PeerMesh::reachableCount() const
{
    std::size_t reachable = 0;
    for (const auto &[host, peer] : d->peers) {
        reachable += d->isReachable(*peer) ? 1 : 0;
    }
    return reachable;
}

void PeerMesh::announce(const journal::TurnKept &turn)
{
    d->announce(turn, {});
}

void PeerMesh::tellOrigin(const resumption::StreamOrigin &origin)
{
    d->tellOrigin(origin);
}

asio::awaitable<std::optional<resumption::StreamOrigin>> PeerMesh::findOrigin(CallId attempt)
{
    return Private::findOrigin(d, std::move(attempt));
}

std::vector<HostName> PeerMesh::outputKeepers(const CallId &stream,
                                              const std::vector<std::string> &allowedRegions) const
{
    std::set<HostName> candidates;
    for (const auto &[host, peer] : d->peers) {
        const bool mayHold = allowedRegions.empty()
            || d->state.regions().allows(allowedRegions, peer->member.failureDomain);
        if (mayHold && d->isReachable(*peer) && !peer->hasEnded) {
            candidates.insert(host);
        }
    }
    return resumption::originKeepers(stream, candidates, resumption::kOriginCopies);
}

std::vector<HostName> PeerMesh::askedForOutput(const CallId &stream) const
{
    std::set<HostName> candidates = d->connectedHosts();
    candidates.insert(d->self.host);
    std::vector<HostName> asked =
        resumption::originKeepers(stream, candidates, resumption::kOriginsAsked);
    std::erase(asked, d->self.host);
    return asked;
}

void PeerMesh::publish(Document document)
{
    const DocumentKind kind = document.kind;
    const std::uint64_t version = document.version;
    if (!d->documents.offer(std::move(document), Private::now())) {
        return;
    }
    d->exchange.setLocal(kind, version);
    // Other failure domains learn the version with the next regular update.
    const auto message = std::make_shared<const std::string>(d->newUpdate().SerializeAsString());
    for (const auto &subscriber : d->subscribers) {
        if (subscriber->failureDomain == d->self.failureDomain) {
            subscriber->send(message);
        }
    }
}

bool PeerMesh::isKnownToAll(DocumentKind kind, std::uint64_t version) const
{
    return std::all_of(d->peers.begin(), d->peers.end(), [&](const auto &entry) {
        return d->exchange.peerVersion(entry.first, kind) >= version;
    });
}

bool PeerMesh::shouldWatchStore() const
{
    return d->watchersBefore() < kWatchersPerDomain;
}

bool PeerMesh::isBehindWatchers() const
{
    return std::count_if(
               d->peers.begin(), d->peers.end(),
               [this](const auto &entry) { return d->precedesInDomain(entry.second->member); })
        >= kWatchersPerDomain;
}

void PeerMesh::setWatchingStore(bool isWatching)
{
    d->isWatchingStore = isWatching;
}

FleetPosition PeerMesh::watcherPosition() const
{
    FleetPosition position;
    for (const auto &[host, peer] : d->peers) {
        if (peer->watchesStore && d->isReachable(*peer)) {
            ++position.members;
            position.rank += host < d->self.host ? 1 : 0;
        }
    }
    return position;
}

void PeerMesh::flush()
{
    d->flush();
}

asio::awaitable<TurnSearch> PeerMesh::findTurn(turns::TurnId id, SearchScope scope)
{
    return d->finder->find(std::move(id), scope);
}

bool PeerMesh::isConnectedToAll() const
{
    return d->isConnectedToAll();
}

bool PeerMesh::isSubscribedToTurns() const
{
    return d->isHolder && std::all_of(d->peers.begin(), d->peers.end(), [](const auto &entry) {
               return !entry.second->isConnected || entry.second->sendsTurns;
           });
}

bool PeerMesh::receivesAllTurns() const
{
    return d->receivesAllTurns();
}

std::map<HostName, Incarnation> PeerMesh::runningGateways() const
{
    std::map<HostName, Incarnation> running{{d->self.host, d->self.incarnation}};
    for (const auto &[host, peer] : d->peers) {
        if (peer->isConnected) {
            running.emplace(host, peer->member.incarnation);
        }
    }
    return running;
}

bool PeerMesh::hasHolderWithLedger() const
{
    return std::any_of(d->peers.begin(), d->peers.end(), [this](const auto &entry) {
        const Peer &peer = *entry.second;
        return peer.mayBeHome() && d->isHolderAmong(peer.member);
    });
}

asio::awaitable<bool> PeerMesh::fetchLedger()
{
    const auto self = d;
    wire::LedgerRequest request;
    request.set_incarnation(self->self.incarnation.value());
    const std::string bytes = request.SerializeAsString();
    const std::vector<std::shared_ptr<Peer>> asked = self->peersHoldersFirst();
    for (const auto &peer : asked) {
        if (!peer->isConnected || !peer->knowsLedger || !self->isHolderAmong(peer->member)) {
            continue;
        }
        const auto message =
            co_await self->sendRequest(peer->member.address, kLedgerMethod, bytes, kLedgerTimeout);
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
        self->log.info("Fetched the ledger from a peer.", Field("peer", peer->member.host),
                       Field("programs", reply.ledger().spends_size()));
        co_return true;
    }
    co_return false;
}

asio::awaitable<CommitOutcome> PeerMesh::commit(std::vector<journal::Record> records)
{
    const auto self = d;
    std::vector<std::shared_ptr<Peer>> writers = self->writers();
    std::erase_if(writers, [&](const std::shared_ptr<Peer> &writer) {
        return writer && !mayReceive(self->state.regions(), records, writer->member.failureDomain);
    });
    // A rival reads the journal of this gateway to learn what it has admitted.
    if (writers.empty() || self->mayHaveRival() || !self->lease.holds(Private::now())) {
        co_return CommitOutcome::WriteLocally;
    }
    RecordCommits commits{self->requestFunction(), self->log};
    std::string request = RecordCommits::encode(std::move(records), self->announcedTo());
    co_return co_await commits.commit(std::move(writers), std::move(request));
}

asio::awaitable<bool> PeerMesh::relay(std::vector<journal::Record> records)
{
    const auto self = d;
    std::vector<std::shared_ptr<Peer>> asked;
    for (const auto &peer : self->peersHoldersFirst()) {
        if (self->isReachable(*peer) && !peer->hasEnded && asked.size() < kMaxRelayPeers
            && mayReceive(self->state.regions(), records, peer->member.failureDomain)) {
            asked.push_back(peer);
        }
    }
    RecordCommits commits{self->requestFunction(), self->log};
    std::string request = RecordCommits::encode(std::move(records), self->announcedTo());
    co_return co_await commits.relay(std::move(asked), std::move(request));
}

asio::awaitable<Result<turns::Admission>> PeerMesh::askHome(turns::TurnBudget turn)
{
    const auto self = d;
    if (self->state.budgets().home(turn.program) == self->self.incarnation) {
        const Result<void> confirmed = co_await Private::confirmSpending(self);
        if (!confirmed) {
            co_return confirmed.error();
        }
        co_return self->state.budgets().grant(self->self.incarnation, turn, Private::now());
    }
    std::shared_ptr<Peer> home = self->peerOf(self->state.budgets().home(turn.program));
    if (home && home->hasEnded) {
        home.reset();
    }
    const bool isLate = self->state.hostLoad().loopDelay() >= kLateLoop;
    if (home && !isLate && !self->isReachable(*home)) {
        // It may still run, so no other gateway may take its place yet.
        co_return Error(ErrorKind::Unavailable, "the home of the program is silent");
    }
    if (!home) {
        home = self->newHomeOf(turn.program);
    }
    if (!home && !self->mayBeHome()) {
        co_return Error(ErrorKind::Unavailable,
                        "no gateway that can be the home of the program is connected");
    }
    if (!home) {
        const Incarnation lostHome = self->state.budgets().home(turn.program);
        if (self->keeper.reader().mayMissSpendingOf(lostHome)) {
            // The lost home may have written spending that it did not send.
            if (!self->keeper.canPersist()) {
                co_return Error(ErrorKind::StoreUnavailable,
                                "the object API is unavailable, so journals cannot be read");
            }
            const Result<void> read = co_await self->keeper.reader().refresh();
            if (!read) {
                co_return read.error();
            }
        }
        // An update may have stated a home meanwhile.
        const auto chosen = self->chooseHome(turn.program);
        if (self->peerOf(self->state.budgets().home(turn.program)) || !chosen
            || chosen->holder != self->self.incarnation) {
            co_return turns::Admission::Elsewhere;
        }
        self->state.budgets().claim(turn.program, Private::now());
        co_return turns::Admission::Elsewhere;
    }
    co_return co_await self->requestAdmission(home, std::move(turn));
}

asio::awaitable<bool> PeerMesh::tellSpending(ProgramId program)
{
    const auto self = d;
    wire::Update update;
    update.set_incarnation(self->self.incarnation.value());
    addSpend(update, self->self.incarnation, self->state.budgets().localReport(program));
    const std::string message = update.SerializeAsString();
    for (const std::shared_ptr<Peer> &peer : self->peersHoldersFirst()) {
        if (!self->isReachable(*peer) || peer->hasEnded || !self->isHolderAmong(peer->member)) {
            continue;
        }
        const auto answer =
            co_await self->sendRequest(peer->member.address, kSpendMethod, message, kSpendTimeout);
        wire::SpendReply reply;
        if (answer && reply.ParseFromString(*answer)
            && reply.incarnation() == peer->member.incarnation.value()) {
            co_return true;
        }
    }
    co_return false;
}

asio::awaitable<std::optional<std::string>> PeerMesh::request(HostName peer, std::string method,
                                                              std::string message, Duration timeout)
{
    const auto self = d;
    const auto found = self->peers.find(peer);
    if (found == self->peers.end() || !found->second->isConnected) {
        co_return std::nullopt;
    }
    co_return co_await self->sendRequest(found->second->member.address, std::move(method),
                                         std::move(message), timeout);
}

asio::awaitable<void> PeerMesh::announceEnd(Duration timeout)
{
    const auto self = d;
    const Instant deadline = Private::now() + timeout;
    self->requests.end();
    self->reportedBatch = self->keeper.durableBatch();
    wire::Update update = self->newUpdate();
    addChanges(self->state, Private::now(), update);
    update.set_has_ended(true);
    self->broadcast(update);
    asio::steady_timer timer(self->executor);
    const auto isPending = [&self] {
        return std::any_of(self->subscribers.begin(), self->subscribers.end(),
                           [](const auto &subscriber) {
                               return !subscriber->isCancelled && !subscriber->queue.empty();
                           });
    };
    while (isPending() && Private::now() < deadline) {
        timer.expires_after(kEndPollInterval);
        (void)co_await timer.async_wait(kTuple);
    }
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
