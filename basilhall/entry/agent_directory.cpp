#include "basilhall/entry/agent_directory.h"

#include "basilhall/route/pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <random>
#include <unordered_map>

namespace basilhall::entry
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr Duration kReconnectPause = std::chrono::milliseconds(500);
constexpr Duration kRefreshInterval = std::chrono::seconds(1);
constexpr Duration kRetryAfter = std::chrono::seconds(2);

route::EndpointLoad loadOf(const wire::LoadReport &report)
{
    route::EndpointLoad load;
    load.running = report.running();
    load.queued = report.queued();
    load.capacity = report.capacity();
    load.queuedTokens = report.queued_tokens();
    load.draining = report.draining();
    load.healthy = report.endpoint_healthy();
    return load;
}

// What the pools recorded for one dispatch when it was sent.
struct SentDispatch {
    EndpointName endpoint;
    std::string serves;
    ProgramId program;
    std::uint64_t expectedCached = 0;
    std::uint64_t promptTokens = 0;
};

// The connection to one agent and its latest load report.
struct Link {
    manifest::Endpoint endpoint;
    bool isClosed = false;
    std::unique_ptr<transport::ClientStream> stream;
    std::optional<wire::LoadReport> report;
};

using LinkPtr = std::shared_ptr<Link>;

} // namespace

class AgentDirectory::Private : public std::enable_shared_from_this<AgentDirectory::Private>
{
public:
    Private(asio::any_io_executor controlExecutor, transport::StreamClient &streamClient,
            HostName host, FailureDomain failureDomain, std::function<Instant()> clock,
            std::uint64_t seed, logging::Log directoryLog)
        : control(std::move(controlExecutor))
        , client(streamClient)
        , self(std::move(host))
        , domain(std::move(failureDomain))
        , now(std::move(clock))
        , random(seed)
        , log(std::move(directoryLog))
    {
    }

    route::Pool &poolOf(const std::string &serves);
    void openLink(const manifest::Endpoint &endpoint);
    void closeLink(const EndpointName &name);
    void handleReport(Link &link, wire::LoadReport report);
    void updatePools(const Link &link);
    static asio::awaitable<void> maintainStream(std::shared_ptr<Private> self, LinkPtr link);
    asio::awaitable<void> readReports(LinkPtr link);
    static asio::awaitable<void> refresh(std::shared_ptr<Private> self);
    asio::awaitable<void> pause(Duration delay);

    const asio::any_io_executor control;
    transport::StreamClient &client;
    const HostName self;
    const FailureDomain domain;
    const std::function<Instant()> now;
    std::mt19937_64 random;
    const logging::Log log;
    CachedHandler cachedHandler;
    std::map<EndpointName, LinkPtr> links;
    std::map<std::string, route::Pool> pools;
    std::unordered_map<std::string, SentDispatch> sentDispatches;
    // Cached tokens that the latest choice for each program expects at its endpoint.
    std::unordered_map<ProgramId, std::uint64_t> expectedCached;
    bool isRefreshing = false;
    bool isClosed = false;
};

AgentDirectory::AgentDirectory(asio::any_io_executor control, transport::StreamClient &client,
                               HostName self, FailureDomain domain, std::function<Instant()> now,
                               std::uint64_t seed, logging::Log log)
    : d(std::make_shared<Private>(std::move(control), client, std::move(self), std::move(domain),
                                  std::move(now), seed, std::move(log)))
{
}

AgentDirectory::~AgentDirectory()
{
    close();
}

void AgentDirectory::onCachedPrograms(CachedHandler handler)
{
    d->cachedHandler = std::move(handler);
}

void AgentDirectory::setManifest(manifest::ManifestPtr manifest)
{
    std::vector<EndpointName> removed;
    for (const auto &[name, link] : d->links) {
        const manifest::Endpoint *endpoint = manifest->endpoint(name);
        const bool isSame = endpoint != nullptr && endpoint->agent == link->endpoint.agent
            && endpoint->serves == link->endpoint.serves;
        if (!isSame) {
            removed.push_back(name);
        }
    }
    for (const EndpointName &name : removed) {
        d->closeLink(name);
    }
    for (const auto &[name, endpoint] : manifest->content().endpoints) {
        if (!d->links.contains(name)) {
            d->openLink(endpoint);
        }
        for (const std::string &serves : endpoint.serves) {
            d->poolOf(serves).setLeaving(name, endpoint.leaving);
        }
    }
    if (!d->isRefreshing) {
        d->isRefreshing = true;
        asio::co_spawn(d->control, Private::refresh(d), asio::detached);
    }
}

Result<owner::EndpointChoice> AgentDirectory::choose(const owner::CallNeeds &needs, Instant now)
{
    const auto pool = d->pools.find(needs.serves);
    if (pool == d->pools.end()) {
        return Error(ErrorKind::Unavailable, "no endpoint serves \"" + needs.serves + "\"")
            .withNotRun()
            .withRetryAfter(kRetryAfter);
    }
    const route::Query query{needs.program, needs.promptTokens, d->domain, needs.excluded};
    const Result<route::Choice> choice = pool->second.choose(query, d->random(), now);
    if (!choice) {
        const Error &error = choice.error();
        return error.retryAfter() ? error : error.withRetryAfter(kRetryAfter);
    }
    const Link &link = *d->links.at(choice.value().endpoint);
    d->expectedCached[needs.program] = choice.value().expectedCachedTokens;
    return owner::EndpointChoice{choice.value().endpoint, link.endpoint.agent,
                                 Incarnation(link.report->incarnation())};
}

void AgentDirectory::dispatchSent(const EndpointName &endpoint,
                                  const wire::DispatchRequest &request, Instant now)
{
    SentDispatch sent{endpoint, request.route(), ProgramId(request.program_id()), 0,
                      request.prompt_tokens()};
    if (const auto expected = d->expectedCached.extract(sent.program)) {
        sent.expectedCached = expected.mapped();
    }
    if (const auto pool = d->pools.find(sent.serves); pool != d->pools.end()) {
        pool->second.onSent(endpoint, CallId(request.call_id()), request.prompt_tokens(), now);
    }
    d->sentDispatches.emplace(request.call_id(), std::move(sent));
}

void AgentDirectory::dispatchEnded(const std::string &dispatchId,
                                   const Result<wire::Answer> &result)
{
    const auto found = d->sentDispatches.find(dispatchId);
    if (found == d->sentDispatches.end()) {
        return;
    }
    const SentDispatch sent = std::move(found->second);
    d->sentDispatches.erase(found);
    const auto pool = d->pools.find(sent.serves);
    if (pool == d->pools.end()) {
        return;
    }
    pool->second.onFinished(sent.endpoint, CallId(dispatchId));
    if (result && result.value().has_usage()) {
        const wire::Usage &usage = result.value().usage();
        pool->second.onPrefixUsed(sent.endpoint, sent.expectedCached, usage.cached_tokens());
        pool->second.onPrefix(sent.endpoint, sent.program,
                              usage.prompt_tokens() + usage.completion_tokens());
    }
}

std::vector<wire::LoadReport> AgentDirectory::reports() const
{
    std::vector<wire::LoadReport> reports;
    for (const auto &[name, link] : d->links) {
        if (link->report) {
            reports.push_back(*link->report);
        }
    }
    return reports;
}

void AgentDirectory::close()
{
    d->isClosed = true;
    while (!d->links.empty()) {
        d->closeLink(d->links.begin()->first);
    }
}

route::Pool &AgentDirectory::Private::poolOf(const std::string &serves)
{
    const auto found = pools.find(serves);
    if (found != pools.end()) {
        return found->second;
    }
    return pools.emplace(serves, route::Pool(serves, route::RouteSettings())).first->second;
}

void AgentDirectory::Private::openLink(const manifest::Endpoint &endpoint)
{
    const auto link = std::make_shared<Link>();
    link->endpoint = endpoint;
    links.emplace(endpoint.name, link);
    for (const std::string &serves : endpoint.serves) {
        poolOf(serves).setEndpoint({endpoint.name, endpoint.domain});
    }
    asio::co_spawn(control, maintainStream(shared_from_this(), link), asio::detached);
}

void AgentDirectory::Private::closeLink(const EndpointName &name)
{
    const LinkPtr link = links.at(name);
    link->isClosed = true;
    if (link->stream) {
        link->stream->cancel();
    }
    for (const std::string &serves : link->endpoint.serves) {
        poolOf(serves).removeEndpoint(name);
    }
    links.erase(name);
}

asio::awaitable<void> AgentDirectory::Private::maintainStream(std::shared_ptr<Private> self,
                                                              LinkPtr link)
{
    while (!link->isClosed) {
        co_await self->readReports(link);
        if (link->report && !link->isClosed) {
            // An endpoint whose agent is disconnected gets no new calls.
            link->report->set_endpoint_healthy(false);
            self->updatePools(*link);
            link->report.reset();
        }
        co_await self->pause(kReconnectPause);
    }
}

asio::awaitable<void> AgentDirectory::Private::readReports(LinkPtr link)
{
    wire::LoadRequest request;
    request.set_host(self.value());
    auto opened = co_await client.open(link->endpoint.agent, "/load", request.SerializeAsString(),
                                       kConnectTimeout);
    if (!opened || link->isClosed) {
        co_return;
    }
    link->stream = std::move(opened.value());
    while (!link->isClosed) {
        auto next = co_await link->stream->next();
        wire::LoadReport report;
        if (!next || !next.value() || !report.ParseFromString(*next.value())) {
            log.warning("Lost the load stream of an agent.",
                        logging::Field("endpoint", link->endpoint.name),
                        logging::Field("error",
                                       next ? Error(ErrorKind::ConnectionLost,
                                                    "the agent ended the load stream")
                                            : next.error()));
            break;
        }
        if (!link->isClosed) {
            handleReport(*link, std::move(report));
        }
    }
    link->stream.reset();
}

void AgentDirectory::Private::handleReport(Link &link, wire::LoadReport report)
{
    link.report = std::move(report);
    updatePools(link);
    std::vector<ProgramId> programs;
    for (const wire::CachedProgram &cached : link.report->cached()) {
        programs.emplace_back(cached.program_id());
    }
    if (cachedHandler) {
        cachedHandler(link.endpoint.agent, programs);
    }
}

void AgentDirectory::Private::updatePools(const Link &link)
{
    for (const std::string &serves : link.endpoint.serves) {
        poolOf(serves).onReport(link.endpoint.name, loadOf(*link.report), now());
    }
}

// An agent reports only changes. While its stream is open, its latest report remains valid, so it
// is passed to the pools again.
asio::awaitable<void> AgentDirectory::Private::refresh(std::shared_ptr<Private> self)
{
    while (!self->isClosed) {
        co_await self->pause(kRefreshInterval);
        for (const auto &[name, link] : self->links) {
            if (link->stream && link->report) {
                self->updatePools(*link);
            }
        }
    }
}

asio::awaitable<void> AgentDirectory::Private::pause(Duration delay)
{
    asio::steady_timer timer(control, delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace basilhall::entry
