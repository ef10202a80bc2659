#include "basilhall/entry/control.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/entry/agent_directory.h"
#include "basilhall/entry/change_reporter.h"
#include "basilhall/entry/fleet_limit_times.h"
#include "basilhall/entry/host_status.h"
#include "basilhall/entry/kind_watch.h"
#include "basilhall/entry/manifest_driver.h"
#include "basilhall/entry/peer_prober.h"
#include "basilhall/entry/shard_driver.h"
#include "basilhall/entry/store_metrics.h"
#include "basilhall/entry/store_pump.h"
#include "basilhall/http/client.h"
#include "basilhall/metrics/registry.h"
#include "basilhall/ownership/shard_codec.h"
#include "basilhall/store/kube_store.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace basilhall::entry
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr Duration kObjectTimeout = std::chrono::seconds(3);
// Upper bound of the time between two iterations of the control loop.
constexpr Duration kMaxPause = std::chrono::milliseconds(50);
constexpr Duration kMinPause = std::chrono::milliseconds(1);
constexpr Duration kHostUpdateInterval = std::chrono::milliseconds(200);
constexpr Duration kIdleCleanupInterval = std::chrono::seconds(1);
// Limit on the journal writes of all entry hosts together.
constexpr std::size_t kJournalWritesPerSecond = 200;

Instant currentTime()
{
    return MonotonicClock().now();
}

journal::WriterOptions writerOptions(const settings::EntrySettings &settings)
{
    journal::WriterOptions options;
    options.flushInterval = settings.flushInterval;
    return options;
}

} // namespace

class Control::Private
{
public:
    Private(asio::io_context &io, const settings::EntrySettings &settings, Incarnation incarnation,
            std::uint64_t seed, logging::LogSystem &logs, metrics::Registry &metricRegistry);

    // Schedules an iteration of the control loop as soon as possible.
    void wake();
    void runIteration();
    void scheduleNextIteration(Instant now);
    void updateHosts(Instant now);
    void publishView();
    void acceptManifest(const manifest::ManifestPtr &manifest);

    asio::any_io_executor executor;
    metrics::Registry &registry;
    const Incarnation self;
    const HostName host;
    ViewHandler viewHandler;
    transport::StreamClient streams;
    http::Client httpClient;
    store::KubeStore objects;
    store::OperationIdSource ids;
    StorePump pump;
    std::shared_ptr<journal::Writer> writer;
    std::shared_ptr<audit::Recorder> recorder;
    ChangeReporter changes;
    limit::Limiter limiter;
    AgentDirectory agents;
    owner::Owner owner;
    OwnerDriver ownerDriver;
    LimitGate limits;
    ShardDriver shards;
    KindWatch shardWatch;
    ManifestDriver manifests;
    PeerProber peers;
    asio::steady_timer timer;
    std::atomic<RoutingViewPtr> view;
    manifest::ManifestPtr currentManifest;
    std::vector<membership::EntryHost> hosts;
    std::uint64_t viewRevision = 0;
    Instant nextHostUpdate;
    Instant nextIdleCleanup;
    bool isWakePending = false;
    bool isViewStale = true;
    bool isDraining = false;
    bool isStopped = false;
};

Control::Private::Private(asio::io_context &io, const settings::EntrySettings &settings,
                          Incarnation incarnation, std::uint64_t seed, logging::LogSystem &logs,
                          metrics::Registry &metricRegistry)
    : executor(io.get_executor())
    , registry(metricRegistry)
    , self(std::move(incarnation))
    , host(settings.host)
    , streams(executor)
    , httpClient(executor)
    , objects(executor, httpClient, settings.objectApi, settings.objectNamespace, kObjectTimeout)
    , pump(
          [this](store::Request request, store::OutcomeHandler handler) {
              handler = counted(registry, request, std::move(handler));
              objects.execute(std::move(request), std::move(handler));
          },
          currentTime, [this] { wake(); })
    , writer(std::make_shared<journal::Writer>(self, ids, writerOptions(settings)))
    , recorder(std::make_shared<audit::Recorder>(host, self, ids, audit::RecorderOptions()))
    , changes(host, logs, registry, recorder, currentTime)
    , limiter(fleetLimitTimes())
    , agents(executor, streams, host, settings.failureDomain, currentTime, seed, logs.log("agents"))
    , owner(
          *writer,
          [this](const owner::CallNeeds &needs, Instant now) { return agents.choose(needs, now); },
          self, owner::OwnerOptions())
    , ownerDriver(executor, owner, agents, streams, currentTime, [this] { wake(); })
    , limits(
          executor, limiter, streams, [this] { return view.load(); }, currentTime, self)
    , shards(host, settings.peerListen, writer, owner, limiter, pump, ids,
             [this](const ShardReport &report) { changes.shardChanged(report); })
    , shardWatch(executor, objects, ownership::kShardKind,
                 [this](const store::Object &object) {
                     shards.objectSeen(object);
                     wake();
                 })
    , manifests(
          executor, objects, pump, ids, streams, currentTime,
          [this](const manifest::ManifestPtr &manifest) { acceptManifest(manifest); },
          [this](const Error &error) { changes.manifestRefused(error); })
    , peers(executor, host, streams, httpClient, settings.hostList, currentTime, seed + 1,
            [this](const Address &peer, const wire::PingReply &reply) {
                manifests.onPeerGeneration(peer, reply.manifest_generation());
            })
    , timer(executor)
    , view(std::make_shared<const RoutingView>())
{
    agents.onCachedPrograms([this](const Address &agent, std::span<const ProgramId> programs) {
        if (manifests.manifest() != nullptr) {
            owner.cachedProgramsReported(agent, programs);
            wake();
        }
    });
}

Control::Control(asio::io_context &io, const settings::EntrySettings &settings, Incarnation self,
                 std::uint64_t seed, logging::LogSystem &logs, metrics::Registry &registry)
    : d(std::make_unique<Private>(io, settings, std::move(self), seed, logs, registry))
{
}

Control::~Control() = default;

void Control::onViewChanged(ViewHandler handler)
{
    d->viewHandler = std::move(handler);
}

void Control::start()
{
    asio::post(d->executor, [this] {
        d->manifests.start();
        d->peers.start();
        d->wake();
    });
}

void Control::beginDrain()
{
    d->isDraining = true;
    d->isViewStale = true;
    d->changes.draining();
    d->shards.setHosts(d->hosts, true);
    d->wake();
}

bool Control::isDrained() const
{
    return d->shards.hasHandedOver() && d->owner.callsInProgress() == 0;
}

bool Control::isSuperseded() const
{
    return d->shards.isSuperseded();
}

void Control::stop()
{
    d->isStopped = true;
    d->timer.cancel();
    d->manifests.stop();
    d->shardWatch.stop();
    d->peers.stop();
    d->agents.close();
    d->streams.close();
}

RoutingViewPtr Control::view() const
{
    return d->view.load();
}

asio::any_io_executor Control::executor() const
{
    return d->executor;
}

OwnerDriver &Control::ownerDriver()
{
    return d->ownerDriver;
}

LimitGate &Control::limits()
{
    return d->limits;
}

PeerService::ControlHandlers Control::peerHandlers()
{
    const auto manifest = [this](const wire::ManifestRequest &request) {
        return d->manifests.parts(request);
    };
    const auto ping = [this](const wire::PingRequest &) {
        wire::PingReply reply;
        reply.set_host(d->host.value());
        reply.set_incarnation(d->self.value());
        reply.set_manifest_generation(d->manifests.generation());
        reply.set_draining(d->isDraining);
        return reply;
    };
    return {manifest, ping};
}

std::string Control::statusDocument() const
{
    HostStatus status;
    status.host = d->host;
    status.incarnation = d->self;
    status.manifestGeneration = d->manifests.generation();
    status.isDraining = d->isDraining;
    status.ownedShards = d->shards.ownedShards();
    status.programs = d->owner.programs().size();
    status.callsInProgress = d->owner.callsInProgress();
    status.journalPendingBytes = d->writer->pendingBytes();
    status.isJournalSealed = d->writer->isSealed();
    status.peers = d->hosts;
    status.endpoints = d->agents.reports();
    return toJson(status);
}

Result<std::string> Control::explain(const ProgramId &program) const
{
    const RoutingViewPtr view = d->view.load();
    const ShardOwner *const owner = view->ownerOf(program);
    if (owner == nullptr || !owner->isSelf) {
        json::object document{{"program", program.value()}, {"is_here", false}};
        const bool isKnown = owner != nullptr && owner->address.has_value();
        document["owner_address"] =
            isKnown ? json::value(toString(*owner->address)) : json::value(nullptr);
        return json::serialize(document);
    }
    const program::Program *const found = d->owner.programs().find(program);
    if (found == nullptr) {
        return Error(ErrorKind::NotFound, "program \"" + program.value() + "\" does not exist");
    }
    wire::ProgramRequest request;
    request.set_program_id(program.value());
    request.set_team(found->team().value());
    return d->owner.programStatus(request);
}

const std::deque<audit::Record> &Control::auditRecords() const
{
    return d->recorder->recent();
}

void Control::updateMetrics(metrics::Registry &registry) const
{
    using metrics::Metric;
    const auto set = [&registry](Metric metric, std::size_t value) {
        registry.gauge(metric).set(static_cast<double>(value));
    };
    set(Metric::CallsRunning, d->owner.callsInProgress());
    set(Metric::ProgramsHeld, d->owner.programs().size());
    set(Metric::ShardsOwned, d->shards.ownedShards());
    set(Metric::JournalPendingBytes, d->writer->pendingBytes());
    set(Metric::ManifestGeneration, d->manifests.generation());
    const std::optional<Instant> since = d->writer->oldestPendingSince();
    const Duration pending = since ? currentTime() - *since : Duration::zero();
    registry.gauge(Metric::JournalOldestPendingSeconds)
        .set(std::chrono::duration<double>(pending).count());
}

void Control::Private::wake()
{
    if (isWakePending || isStopped) {
        return;
    }
    isWakePending = true;
    asio::post(executor, [this] { runIteration(); });
}

void Control::Private::runIteration()
{
    if (isStopped) {
        return;
    }
    isWakePending = false;
    const Instant now = currentTime();
    updateHosts(now);
    manifests.advance();
    if (manifests.manifest() != nullptr) {
        owner.advance(now);
        shards.advance(now);
        ownerDriver.pump();
    }
    pump.run(recorder);
    publishView();
    if (now >= nextIdleCleanup) {
        nextIdleCleanup = now + kIdleCleanupInterval;
        limits.forgetIdle();
    }
    scheduleNextIteration(now);
}

void Control::Private::scheduleNextIteration(Instant now)
{
    Duration pause = kMaxPause;
    for (const auto wakeAt : {shards.nextWake(), manifests.nextWake(), recorder->nextWake()}) {
        if (wakeAt) {
            pause = std::min(pause, *wakeAt - now);
        }
    }
    timer.expires_after(std::max(pause, kMinPause));
    timer.async_wait([this](boost::system::error_code failure) {
        if (!failure) {
            wake();
        }
    });
}

void Control::Private::updateHosts(Instant now)
{
    if (now < nextHostUpdate) {
        return;
    }
    nextHostUpdate = now + kHostUpdateInterval;
    for (const auto &[name, address] : shards.mentionedHosts()) {
        peers.view().onMentioned(name, address, now);
    }
    peers.view().watch(shards.watchedOwners());
    std::vector<membership::EntryHost> current = peers.view().hosts();
    if (current != hosts) {
        hosts = std::move(current);
        shards.setHosts(hosts, isDraining);
        const auto dead = std::count_if(hosts.begin(), hosts.end(), [](const auto &other) {
            return other.state == membership::HostState::Dead;
        });
        writer->limitWriteRate(hosts.size() + 1 - static_cast<std::size_t>(dead),
                               kJournalWritesPerSecond);
    }
}

void Control::Private::publishView()
{
    const std::uint64_t revision = shards.revision();
    if (!isViewStale && revision == viewRevision) {
        return;
    }
    isViewStale = false;
    viewRevision = revision;
    auto fresh = std::make_shared<RoutingView>();
    fresh->manifest = manifests.manifest();
    fresh->owners = shards.owners();
    fresh->isDraining = isDraining;
    const RoutingViewPtr before = view.load();
    const RoutingViewPtr current = std::move(fresh);
    view.store(current);
    if (viewHandler) {
        viewHandler(before, current);
    }
}

void Control::Private::acceptManifest(const manifest::ManifestPtr &manifest)
{
    const manifest::ManifestPtr before = std::exchange(currentManifest, manifest);
    changes.manifestInForce(before.get(), *manifest);
    owner.setManifest(manifest);
    agents.setManifest(manifest);
    shards.setManifest(manifest, currentTime());
    if (before == nullptr) {
        shardWatch.start();
    }
    isViewStale = true;
    wake();
}

} // namespace basilhall::entry
