#include "basilhall/gateway/gateway.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/evacuation_monitor.h"
#include "basilhall/gateway/host_load_monitor.h"
#include "basilhall/gateway/internal/cold_log.h"
#include "basilhall/gateway/journal_reader.h"
#include "basilhall/gateway/membership.h"
#include "basilhall/gateway/peer_mesh.h"
#include "basilhall/gateway/registration_codec.h"
#include "basilhall/logging/log_system.h"
#include "basilhall/logging/public_text.h"
#include "basilhall/metrics/registry.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>
#include <utility>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// Time to wait for an update from a peer that knows the ledgers; running peers send one within some
// milliseconds.
constexpr Duration kPeerLedgerTimeout = std::chrono::milliseconds(400);
// Time to connect to all registered peers before this gateway becomes the home of any program. The
// limit is needed because a registration may belong to a host that no longer exists.
constexpr Duration kMeshConnectTimeout = std::chrono::seconds(3);
constexpr Duration kPeerPollInterval = std::chrono::milliseconds(20);
// Time to wait for the holders, one per failure domain, to read the ledgers, instead of having
// every gateway read them. Reading takes about a second.
constexpr Duration kHolderLoadTimeout = std::chrono::seconds(6);
// Interval between checks whether journals have to be read; meanwhile peers answer for their
// content.
constexpr Duration kBackgroundLoadInterval = std::chrono::seconds(1);
// A gateway that is no holder fetches the ledger within this time after it is ready.
constexpr Duration kMinLedgerFetchDelay = std::chrono::seconds(1);
constexpr Duration kLedgerFetchSpread = std::chrono::seconds(4);
constexpr std::uint64_t kLedgerFetchSteps = 64;
constexpr Duration kLedgerLoadPause = std::chrono::milliseconds(200);
constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);
// The platform probes readiness once a second and removes a host after two failed probes.
constexpr Duration kLoadBalancerDelay = std::chrono::milliseconds(2500);
// Requests still running this long before the kill are aborted, so that the process can shut down
// cleanly.
constexpr Duration kKillMargin = std::chrono::milliseconds(700);
// Time after its start for which a gateway waits for peers that watch the object API.
constexpr Duration kWatcherDiscoveryTime = std::chrono::milliseconds(700);
// Well below the 2 s within which a change has to be in force.
constexpr Duration kMaxWatchRetryDelay = std::chrono::milliseconds(400);
// While the object API is unavailable, most gateways of a large fleet call it less often.
constexpr Duration kMaxFallbackRetryDelay = std::chrono::seconds(2);
constexpr Duration kLoadSampleInterval = std::chrono::milliseconds(40);
// Time to send the last updates to all peers.
constexpr Duration kEndTimeout = std::chrono::milliseconds(300);
constexpr Duration kDrainCheck = std::chrono::milliseconds(50);

Member memberOf(const settings::GatewaySettings &settings, const Incarnation &incarnation)
{
    return {settings.host, incarnation, settings.peerListen, settings.failureDomain,
            settings.processorMillis};
}

http::ServerLimits serverLimits(const fleet::IngressLimits &limits)
{
    http::ServerLimits made;
    made.maxBodyBytes = limits.maxBodyBytes;
    made.maxHeaderBytes = limits.maxHeaderBytes;
    made.readTimeout = limits.headerTimeout;
    made.idleTimeout = limits.idleTimeout;
    return made;
}

// The names, separated by commas.
template<typename Names>
std::string joined(const Names &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

} // namespace

class Gateway::Private : public std::enable_shared_from_this<Gateway::Private>
{
public:
    Private(const asio::any_io_executor &e, settings::GatewaySettings s, Incarnation incarnation,
            StoreAccess access, PolicyDecoder d, logging::LogSystem &logs,
            metrics::Registry &registry)
        : executor(e)
        , settings(std::move(s))
        , decode(std::move(d))
        , log(logs.log("gateway"))
        , state(incarnation, fleetTraits(settings))
        , keeper(e, access, settings.host, state, logs.log("turns"), registry)
        , callLog(logs.log("call"), registry)
        , coldLog(logs.log("gateway"), registry)
        , loadMonitor(state.hostLoad(), keeper, callLog, settings.processorMillis, logs.log("load"),
                      registry)
        , evacuationMonitor(state, logs.log("evacuation"), registry)
        , mesh(
              e, memberOf(settings, incarnation), state, keeper, logs.log("peers"),
              [this](const Document &document) { takeDocument(document); },
              [this](const Member &member) { membership.onSubscribed(member); },
              [this] { return membership.refresh(); })
        , membership(e, memberOf(settings, incarnation), std::move(access), mesh, logs.log("peers"))
        , readyServer(e, settings.readyListen, {},
                      [this](std::shared_ptr<http::Exchange> exchange) {
                          return answerReady(std::move(exchange));
                      })
    {
        keeper.setRelay([this](std::vector<journal::Record> records) {
            return mesh.relay(std::move(records));
        });
        keeper.setCommit([this](std::vector<journal::Record> records) {
            return mesh.commit(std::move(records));
        });
        keeper.setSearchPeers([this](turns::TurnId id, SearchScope scope) {
            return mesh.findTurn(std::move(id), scope);
        });
        keeper.setAnnounce([this](const journal::TurnKept &turn) { mesh.announce(turn); });
        keeper.setTellSpending(
            [this](ProgramId program) { return mesh.tellSpending(std::move(program)); });
    }

    static Instant now() { return MonotonicClock().now(); }

    bool isReady() const
    {
        return !isDraining && keeper.isLoaded() && state.policy() && hasEndpointList
            && state.evacuations().isKnown();
    }

    asio::awaitable<void> answerReady(std::shared_ptr<http::Exchange> exchange)
    {
        http::Response response;
        response.status = isReady() ? 200 : 503;
        (void)co_await exchange->respond(std::move(response));
    }

    void takePolicy(const Document &document, logging::Literal source)
    {
        if (state.policy() && document.version <= state.policy()->version()) {
            return;
        }
        const Result<fleet::PolicyPtr> policy = decode(document.content);
        if (!policy) {
            log.error("Refused a configuration; the previous one stays in force.",
                      Field("version", document.version), Field("reason", policy.error()));
            return;
        }
        if (state.applyPolicy(policy.value(), now())) {
            log.info("Configuration in force.", Field("version", document.version),
                     Field("source", source));
            logUnservedRegions(*policy.value());
            callers->setLimits(serverLimits(policy.value()->content().limits));
            mesh.publish(document);
        }
    }

    // Called once for each version of the configuration.
    void logUnservedRegions(const fleet::Policy &policy)
    {
        const fleet::UnservedRegions unserved =
            fleet::unservedRegions(policy.content(), state.regions());
        if (!unserved.isEmpty()) {
            const std::string routes = joined(unserved.routes);
            const std::string teams = joined(unserved.teams);
            const std::string regions = joined(unserved.regions);
            log.warning("No failure domain is in the allowed regions of routes or teams; their "
                        "requests are refused.",
                        Field("version", policy.version()),
                        Field("routes", logging::PublicText(routes)),
                        Field("teams", logging::PublicText(teams)),
                        Field("regions", logging::PublicText(regions)));
        }
    }

    // Applies a document that was fetched from a peer.
    void takeDocument(const Document &document)
    {
        switch (document.kind) {
        case DocumentKind::Policy:
            takePolicy(document, "peer");
            break;
        case DocumentKind::Endpoints:
            takeEndpoints(document);
            break;
        case DocumentKind::Members:
            takeMembers(document);
            break;
        case DocumentKind::Evacuations:
            takeEvacuations(document);
            break;
        default:
            log.warning("Ignored a document of an unknown kind.",
                        Field("kind", static_cast<std::uint32_t>(document.kind)));
        }
    }

    void takeEndpoints(const Document &document)
    {
        const Result<EndpointListing> listing =
            decodeEndpoints(document.content, now() - document.age);
        if (!listing) {
            log.error("Refused a list of endpoints from a peer.",
                      Field("version", document.version), Field("reason", listing.error()));
            return;
        }
        EndpointListing current = listing.value();
        current.graceLeft = std::max(current.graceLeft - document.age, Duration::zero());
        const std::size_t lapsedBefore = state.lapsedCount();
        state.replaceEndpoints(current, now());
        state.noteEndpointsCurrent(now() - document.age);
        if (current.graceLeft > Duration::zero() || state.lapsedCount() != lapsedBefore) {
            log.info("Took a list of endpoints from a peer beside an outage of the object API.",
                     Field("version", document.version), Field("age", document.age),
                     Field("grace_left", current.graceLeft), Field("lapsed", state.lapsedCount()));
        }
        if (!std::exchange(hasEndpointList, true)) {
            log.info("Fetched the endpoints from a peer.",
                     Field("listed", listing.value().endpoints.size()),
                     Field("version", document.version));
        }
        mesh.publish(document);
    }

    void takeMembers(const Document &document)
    {
        const auto listed = decodeMembers(document.content);
        if (!listed) {
            log.error("Refused a list of gateways from a peer.", Field("version", document.version),
                      Field("reason", listed.error()));
            return;
        }
        membership.setAll(listed.value());
        mesh.publish(document);
    }

    void takeEvacuations(const Document &document)
    {
        const auto listed = decodeEvacuations(document.version, document.content);
        if (!listed) {
            log.error("Refused a list of evacuations from a peer.",
                      Field("version", document.version), Field("reason", listed.error()));
            return;
        }
        applyEvacuations(listed.value(), now() - document.age, "peer");
        // Without this, a gateway that knows a later list would request this one again.
        publishEvacuations();
        // A gateway that does not apply evacuations only passes them on.
        mesh.publish(document);
    }

    void applyEvacuations(const fleet::Evacuations &listed, Instant at, logging::Literal source)
    {
        const auto change = state.applyEvacuations(listed, at, now());
        if (change) {
            evacuationMonitor.onChanged(*change, source, now());
            publishEvacuations();
        }
    }

    void publishEvacuations()
    {
        const fleet::Evacuations &current = state.evacuations().current();
        mesh.publish({DocumentKind::Evacuations, current.revision, encodeEvacuations(current),
                      now() - state.evacuations().currentAt().value_or(now())});
    }

    // Offers the registrations to the peers, as of a revision of the object API.
    void publishRegistrations(DocumentKind kind, std::uint64_t revision)
    {
        if (kind == DocumentKind::Endpoints) {
            state.noteEndpointsCurrent(now());
            mesh.publish(
                {kind, revision, encodeEndpoints(state.endpointListing(now()), now()), {}});
        } else if (kind == DocumentKind::Members) {
            mesh.publish({kind, revision, encodeMembers(membership.registered()), {}});
        }
    }

    bool shouldWatchStore() const
    {
        const bool awaitsWatchers = now() - startedAt < kWatcherDiscoveryTime
            && (!hasMemberList || mesh.isBehindWatchers());
        return !awaitsWatchers && mesh.shouldWatchStore();
    }

    void onWatchChanged(DocumentKind kind, bool isAvailable)
    {
        if (isAvailable) {
            availableWatches.insert(kind);
        } else {
            availableWatches.erase(kind);
        }
        const bool isWatching = availableWatches.contains(DocumentKind::Policy)
            && availableWatches.contains(DocumentKind::Endpoints)
            && availableWatches.contains(DocumentKind::Members)
            && (!settings.evacuationBound || availableWatches.contains(DocumentKind::Evacuations));
        if (isWatching != std::exchange(isWatchingStore, isWatching)) {
            mesh.setWatchingStore(isWatching);
            log.info(isWatching ? logging::Literal("Watches the object API.")
                                : logging::Literal("No longer watches the object API."),
                     Field("members", mesh.memberCount() + 1));
        }
    }

    enum class LedgerSource {
        Peer,
        Store,
        // A holder has the ledger and admits the turns of this gateway.
        Holder,
    };

    // Loads the earlier spending once. A gateway that is no holder does not need it to serve, and
    // only reads it from the object API if no holder has read it for long.
    static asio::awaitable<Result<LedgerSource>> loadLedger(std::shared_ptr<Private> self,
                                                            Instant startTime)
    {
        if (!self->keeper.isLoaded() && !self->mesh.isHolder()
            && self->mesh.hasHolderWithLedger()) {
            co_return LedgerSource::Holder;
        }
        if (co_await self->mesh.fetchLedger()) {
            self->keeper.setLedgerKnown();
            co_return LedgerSource::Peer;
        }
        if (!self->mesh.isHolder() && now() - startTime <= kHolderLoadTimeout) {
            co_return Error(ErrorKind::Unavailable, "no holder has loaded the ledgers yet");
        }
        const Result<void> loaded = co_await self->keeper.reader().loadLedgers();
        if (!loaded) {
            if (!std::exchange(self->isLedgerFailureLogged, true)) {
                self->log.warning("Cannot read the ledgers yet.", Field("reason", loaded.error()));
            }
            co_return loaded.error();
        }
        // A peer that has loaded the ledgers meanwhile may have admitted turns since.
        if (co_await self->mesh.fetchLedger()) {
            self->keeper.setLedgerKnown();
            co_return LedgerSource::Peer;
        }
        co_return LedgerSource::Store;
    }

    // Time after which a gateway that is no holder fetches the ledger, so that it can replace one.
    // After a restart of all gateways, the fetches are spread over the links of the holders.
    Duration ledgerFetchDelay() const
    {
        const auto step = static_cast<Duration::rep>(std::hash<std::string>()(settings.host.value())
                                                     % kLedgerFetchSteps);
        return kMinLedgerFetchDelay
            + kLedgerFetchSpread * step / static_cast<Duration::rep>(kLedgerFetchSteps);
    }

    // Makes the gateway ready once it or a holder knows the ledgers; then loads what is missing in
    // the background.
    static asio::awaitable<void> load(std::shared_ptr<Private> self)
    {
        asio::steady_timer pause(self->executor);
        const Instant startTime = now();
        // Each peer states in its first update whether it knows the ledgers.
        while (now() - startTime < kPeerLedgerTimeout
               && !(self->hasMemberList && self->mesh.isConnectedToAll())) {
            pause.expires_after(kPeerPollInterval);
            (void)co_await pause.async_wait(kTuple);
        }
        bool isLoadedFromStore = false;
        while (true) {
            const Result<LedgerSource> source = co_await loadLedger(self, startTime);
            if (source) {
                isLoadedFromStore = source.value() == LedgerSource::Store;
                break;
            }
            pause.expires_after(self->mesh.isHolder() ? kLedgerLoadPause : kPeerPollInterval);
            (void)co_await pause.async_wait(kTuple);
        }
        // If no peer knew the ledgers, the gateways choose new homes for the programs. All choose
        // the same home only if they are connected to each other.
        while (isLoadedFromStore && now() - startTime < kMeshConnectTimeout
               && !self->mesh.isConnectedToAll()) {
            pause.expires_after(kPeerPollInterval);
            (void)co_await pause.async_wait(kTuple);
        }
        if (isLoadedFromStore) {
            self->keeper.setLedgerKnown();
        }
        self->keeper.setLoaded();
        self->log.info(
            "Loaded the kept turns and spending.", Field("turns", self->state.turns().size()),
            Field("programs", self->state.budgets().size()), Field("from_peer", !isLoadedFromStore),
            Field("ledger", self->keeper.knowsLedger()), Field("after", now() - startTime));
        const Instant ledgerFetchAt = now() + self->ledgerFetchDelay();
        while (!self->isStopped) {
            if (!self->keeper.knowsLedger() && (self->mesh.isHolder() || now() >= ledgerFetchAt)) {
                const Result<LedgerSource> source = co_await loadLedger(self, startTime);
                if (source && source.value() == LedgerSource::Store) {
                    self->keeper.setLedgerKnown();
                }
            }
            // The peers may lose earlier turns when they restart one after the other.
            if (self->mesh.isSubscribedToTurns() && !self->keeper.reader().hasLoadedTurns()) {
                const Instant readAt = now();
                // GCC 12 destroys the captures of a lambda within the expression twice.
                const auto running = [self] { return self->mesh.runningGateways(); };
                const Result<void> loaded = co_await self->keeper.reader().loadTurns(running);
                if (loaded) {
                    self->log.info("Read where all turns are stored.",
                                   Field("turns", self->state.turns().size()),
                                   Field("stored", self->state.turns().storedCount()),
                                   Field("after", now() - readAt));
                } else {
                    self->log.warning("Cannot read where all turns are stored yet.",
                                      Field("reason", loaded.error()));
                }
            } else if (self->mesh.isHolder() && self->keeper.canPersist()
                       && (!self->keeper.reader().unreadJournals().empty()
                           || self->keeper.reader().isOpenReadDue())) {
                // Reading early keeps the amount small. A failure is retried in the next round.
                (void)co_await self->keeper.reader().refresh();
            }
            pause.expires_after(kBackgroundLoadInterval);
            (void)co_await pause.async_wait(kTuple);
        }
    }

    static asio::awaitable<void> runMaintenance(std::shared_ptr<Private> self)
    {
        asio::steady_timer timer(self->executor);
        Instant nextHousekeeping = now();
        while (!self->isStopped) {
            self->mesh.flush();
            self->keeper.coverOvercounted();
            self->membership.dropUnsubscribed();
            self->noteOutage();
            const std::size_t dropped = self->state.expireEndpoints(now());
            self->coldLog.report(self->state.placement().limits(), now());
            if (dropped > 0) {
                self->log.info(
                    "Dropped endpoint registrations that were not renewed after an outage.",
                    Field("endpoints", dropped));
            }
            if (self->keeper.isLedgerDue()) {
                self->keeper.saveLedger();
            }
            if (now() >= nextHousekeeping) {
                nextHousekeeping = now() + kHousekeepingInterval;
                self->state.expireSuspects(now());
                self->evacuationMonitor.onTimer(self->membership.registered(),
                                                self->evacuationsKnownToAll(), now());
                self->keeper.expire(self->mesh.receivesAllTurns()
                                        && self->keeper.reader().hasLoadedTurns(),
                                    self->mesh.isHolder() && self->mesh.holderRank() == 0
                                        ? std::optional(self->mesh.liveIncarnations())
                                        : std::nullopt);
                self->membership.removeSilentMembers();
            }
            timer.expires_after(self->untilMaintenance());
            (void)co_await timer.async_wait(kTuple);
        }
    }

    std::function<bool(std::uint64_t)> evacuationsKnownToAll() const
    {
        return [this](std::uint64_t revision) {
            return mesh.isKnownToAll(DocumentKind::Evacuations, revision);
        };
    }

    // Keeps back removals of endpoints while the object API fails. The outage may have ended after
    // the last failure.
    void noteOutage()
    {
        const std::optional<Instant> lastFailure = keeper.lastStoreFailure();
        if (!lastFailure || keeper.storeFailingFor() < kStoreOutageThreshold
            || now() - *lastFailure >= kRegistrationGrace) {
            return;
        }
        if (keeper.ownCallsFailingFor() >= kStoreOutageThreshold) {
            state.noteStoreOutage(*lastFailure);
        } else {
            state.noteReportedOutage(*lastFailure, now());
        }
    }

    // Removals that are kept back take effect on time.
    Duration untilMaintenance() const
    {
        const Duration interval = mesh.updateInterval();
        const std::optional<Instant> expiry = state.nextEndpointExpiry();
        return expiry ? std::clamp<Duration>(*expiry - now(), Duration::zero(), interval)
                      : interval;
    }

    static asio::awaitable<void> monitorLoad(std::shared_ptr<Private> self)
    {
        asio::steady_timer timer(self->executor);
        while (!self->isStopped) {
            const Instant due = now() + kLoadSampleInterval;
            timer.expires_after(kLoadSampleInterval);
            (void)co_await timer.async_wait(kTuple);
            self->loadMonitor.onTimer(due, now());
        }
    }

    static asio::awaitable<void> drain(std::shared_ptr<Private> self, std::function<void()> done)
    {
        self->isDraining = true;
        const Instant startTime = now();
        const Instant deadline = startTime + self->settings.shutdownGrace - kKillMargin;
        self->state.setStopsAt(deadline);
        self->log.info("Drains.", Field("running", self->callLog.running()));
        self->callers->closeAfterAnswers();
        asio::steady_timer timer(self->executor);
        bool isAccepting = true;
        bool hasEnded = false;
        while (!hasEnded && now() < deadline) {
            if (isAccepting && now() - startTime >= kLoadBalancerDelay) {
                isAccepting = false;
                self->callers->stopAccepting();
            }
            hasEnded = !isAccepting && self->callLog.running() == 0
                && self->callers->connections() == 0 && self->keeper.isIdle();
            if (!hasEnded) {
                timer.expires_after(kDrainCheck);
                (void)co_await timer.async_wait(kTuple);
            }
        }
        self->log.info("Drained.", Field("after", now() - startTime),
                       Field("running", self->callLog.running()));
        self->isStopped = true;
        if (hasEnded) {
            co_await self->mesh.announceEnd(kEndTimeout);
        }
        self->membership.leave(std::move(done));
    }

    asio::any_io_executor executor;
    settings::GatewaySettings settings;
    PolicyDecoder decode;
    logging::Log log;
    FleetState state;
    TurnKeeper keeper;
    CallLog callLog;
    ColdLog coldLog;
    HostLoadMonitor loadMonitor;
    EvacuationMonitor evacuationMonitor;
    PeerMesh mesh;
    Membership membership;
    http::Server readyServer;
    std::unique_ptr<http::Server> callers;
    const Instant startedAt = now();
    bool isLedgerFailureLogged = false;
    // The kinds whose watches deliver changes.
    std::set<DocumentKind> availableWatches;
    bool isWatchingStore = false;
    bool hasEndpointList = false;
    bool hasMemberList = false;
    bool isDraining = false;
    bool isStopped = false;
};

Gateway::Gateway(const asio::any_io_executor &executor, settings::GatewaySettings settings,
                 Incarnation incarnation, StoreAccess access, PolicyDecoder decoder,
                 logging::LogSystem &logs, metrics::Registry &registry)
    : d(std::make_shared<Private>(executor, std::move(settings), std::move(incarnation),
                                  std::move(access), std::move(decoder), logs, registry))
{
}

Gateway::~Gateway() = default;

FleetState &Gateway::state()
{
    return d->state;
}

TurnKeeper &Gateway::keeper()
{
    return d->keeper;
}

CallLog &Gateway::callLog()
{
    return d->callLog;
}

PeerMesh &Gateway::mesh()
{
    return d->mesh;
}

FleetEvents Gateway::events()
{
    FleetEvents events;
    events.policy = [d = d](const Document &document) { d->takePolicy(document, "store"); };
    events.upToDate = [d = d](DocumentKind kind, std::uint64_t revision) {
        d->publishRegistrations(kind, revision);
    };
    events.watchChanged = [d = d](DocumentKind kind, bool isAvailable) {
        d->onWatchChanged(kind, isAvailable);
    };
    events.endpointsListed = [d = d](const std::vector<fleet::Endpoint> &listed, bool afterOutage) {
        d->state.replaceEndpoints(listed, afterOutage, Private::now());
        d->hasEndpointList = true;
        d->log.info("Listed endpoints.", Field("listed", listed.size()),
                    Field("after_outage", afterOutage), Field("known", d->state.endpointCount()));
    };
    events.endpointChanged = [d = d](const fleet::Endpoint &endpoint) {
        if (!d->state.setEndpoint(endpoint, Private::now())) {
            return;
        }
        d->log.info("Endpoint registered.", Field("endpoint", endpoint.name),
                    Field("leaving", endpoint.isLeaving), Field("address", endpoint.address),
                    Field("started", endpoint.startedAt),
                    Field("version", logging::PublicText(endpoint.version)));
    };
    events.endpointRemoved = [d = d](const EndpointName &name) {
        d->state.removeEndpoint(name, Private::now());
        d->log.info("Endpoint removed.", Field("endpoint", name),
                    Field("kept", d->state.hasEndpoint(name)));
    };
    events.evacuations = [d = d](const fleet::Evacuations &listed) {
        d->applyEvacuations(listed, Private::now(), "store");
    };
    events.membersListed = [d = d](const std::vector<Member> &members) {
        d->membership.setAll(members);
        d->hasMemberList = true;
    };
    events.memberChanged = [d = d](const Member &member) { d->membership.set(member); };
    events.memberRemoved = [d = d](const HostName &host) { d->membership.remove(host); };
    return events;
}

bool Gateway::shouldWatchStore() const
{
    return d->shouldWatchStore();
}

Duration Gateway::maxWatchRetryDelay() const
{
    return d->mesh.isBehindWatchers() ? kMaxFallbackRetryDelay : kMaxWatchRetryDelay;
}

void Gateway::start(http::Server::Handler serve)
{
    d->callers = std::make_unique<http::Server>(
        d->executor, d->settings.listen, serverLimits(fleet::IngressLimits()), std::move(serve));
    d->membership.join();
    asio::co_spawn(d->executor, Private::load(d), asio::detached);
    asio::co_spawn(d->executor, Private::runMaintenance(d), asio::detached);
    asio::co_spawn(d->executor, Private::monitorLoad(d), asio::detached);
}

void Gateway::drain(std::function<void()> done)
{
    if (!d->isDraining) {
        asio::co_spawn(d->executor, Private::drain(d, std::move(done)), asio::detached);
    }
}

bool Gateway::isReady() const
{
    return d->isReady();
}

} // namespace basilhall::gateway
