#include "basilhall/entry/manifest_driver.h"

#include "basilhall/manifest/candidate.h"
#include "basilhall/manifest/root.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace basilhall::entry
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kPeerTimeout = std::chrono::seconds(2);

} // namespace

class ManifestDriver::Private : public std::enable_shared_from_this<ManifestDriver::Private>
{
public:
    Private(const asio::any_io_executor &controlExecutor, store::KubeStore &objects,
            StorePump &storePump, store::OperationIdSource &operationIds,
            transport::StreamClient &streamClient, std::function<Instant()> clock,
            AcceptHandler acceptHandler, RefusalHandler refusalHandler)
        : control(controlExecutor)
        , pump(storePump)
        , ids(operationIds)
        , streams(streamClient)
        , now(std::move(clock))
        , onAccepted(std::move(acceptHandler))
        , onRefused(std::move(refusalHandler))
        // No peers: a new host knows none yet, so it waits for the object API alone.
        , acceptor({})
        , watch(controlExecutor, objects, std::string(manifest::kObjectKind),
                [this](const store::Object &) { isLoadWanted = true; })
    {
    }

    void processLoaderResult();
    void offer(std::string_view source, const manifest::Candidate &candidate);
    static asio::awaitable<void> fetch(std::shared_ptr<Private> self, Address peer);

    const asio::any_io_executor control;
    StorePump &pump;
    store::OperationIdSource &ids;
    transport::StreamClient &streams;
    const std::function<Instant()> now;
    const AcceptHandler onAccepted;
    const RefusalHandler onRefused;
    manifest::Acceptor acceptor;
    KindWatch watch;
    std::shared_ptr<manifest::Loader> loader;
    bool isLoadWanted = true;
    bool isFetching = false;
    bool hasApiAnswered = false;
};

ManifestDriver::ManifestDriver(asio::any_io_executor control, store::KubeStore &objects,
                               StorePump &pump, store::OperationIdSource &ids,
                               transport::StreamClient &streams, std::function<Instant()> now,
                               AcceptHandler onAccepted, RefusalHandler onRefused)
    : d(std::make_shared<Private>(control, objects, pump, ids, streams, std::move(now),
                                  std::move(onAccepted), std::move(onRefused)))
{
}

ManifestDriver::~ManifestDriver() = default;

void ManifestDriver::start()
{
    d->watch.start();
}

void ManifestDriver::stop()
{
    d->watch.stop();
}

void ManifestDriver::advance()
{
    if (d->loader == nullptr && d->isLoadWanted) {
        d->isLoadWanted = false;
        d->loader = std::make_shared<manifest::Loader>(d->ids, d->acceptor.current());
    }
    if (d->loader != nullptr) {
        d->pump.run(d->loader);
        d->processLoaderResult();
    }
}

std::optional<Instant> ManifestDriver::nextWake() const
{
    return d->loader == nullptr ? std::nullopt : d->loader->nextWake();
}

void ManifestDriver::Private::processLoaderResult()
{
    if (!loader->isFinished()) {
        return;
    }
    const Result<std::optional<manifest::Candidate>> result = loader->result();
    loader.reset();
    if (!result) {
        acceptor.onDamaged(manifest::Acceptor::kApiSource, result.error());
        onRefused(result.error());
        return;
    }
    if (result.value()) {
        offer(manifest::Acceptor::kApiSource, *result.value());
    }
    acceptor.onSourceAnswered(manifest::Acceptor::kApiSource);
    hasApiAnswered = true;
}

void ManifestDriver::Private::offer(std::string_view source, const manifest::Candidate &candidate)
{
    switch (acceptor.offer(source, candidate)) {
    case manifest::OfferVerdict::Accepted:
        onAccepted(acceptor.manifest());
        return;
    case manifest::OfferVerdict::Refused:
        onRefused(*acceptor.lastRefusal());
        return;
    case manifest::OfferVerdict::NotNewer:
        return;
    }
}

void ManifestDriver::onPeerGeneration(const Address &peer, std::uint64_t generation)
{
    // Until the object API has answered once, the manifest of a peer may be older than the one that
    // this host used before its restart.
    if (!d->hasApiAnswered || generation <= d->acceptor.generation() || d->isFetching) {
        return;
    }
    d->isFetching = true;
    asio::co_spawn(d->control, Private::fetch(d, peer), asio::detached);
}

asio::awaitable<void> ManifestDriver::Private::fetch(std::shared_ptr<Private> self, Address peer)
{
    wire::ManifestRequest request;
    request.set_known_generation(self->acceptor.generation());
    const std::string source = "peer " + toString(peer);
    std::vector<manifest::Part> parts;
    auto stream = co_await self->streams.open(std::move(peer), "/manifest",
                                              request.SerializeAsString(), kPeerTimeout);
    bool isWhole = false;
    while (stream) {
        auto next = co_await stream.value()->next();
        wire::ManifestPart part;
        if (!next || !next.value() || !part.ParseFromString(*next.value())) {
            isWhole = next && !next.value();
            break;
        }
        parts.push_back({part.digest(), part.content()});
    }
    self->isFetching = false;
    if (!isWhole || parts.empty()) {
        co_return;
    }
    const Result<manifest::Candidate> candidate = manifest::Candidate::fromParts(parts);
    if (candidate) {
        self->offer(source, candidate.value());
    } else {
        self->acceptor.onDamaged(source, candidate.error());
        self->onRefused(candidate.error());
    }
}

std::vector<wire::ManifestPart> ManifestDriver::parts(const wire::ManifestRequest &request) const
{
    std::vector<wire::ManifestPart> parts;
    const auto &current = d->acceptor.current();
    if (!current || current->generation() <= request.known_generation()) {
        return parts;
    }
    for (manifest::Part &part : current->toParts()) {
        wire::ManifestPart message;
        message.set_generation(current->generation());
        message.set_digest(std::move(part.digest));
        message.set_content(std::move(part.content));
        parts.push_back(std::move(message));
    }
    return parts;
}

std::uint64_t ManifestDriver::generation() const
{
    return d->acceptor.generation();
}

manifest::ManifestPtr ManifestDriver::manifest() const
{
    return d->acceptor.manifest();
}

} // namespace basilhall::entry
