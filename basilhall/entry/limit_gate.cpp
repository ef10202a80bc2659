#include "basilhall/entry/limit_gate.h"

#include "basilhall/entry/ask_peer.h"
#include "basilhall/entry/control_thread.h"
#include "basilhall/entry/mailbox.h"
#include "basilhall/entry/team_slice.h"
#include "basilhall/limit/grant_cache.h"
#include "basilhall/wire/error_codec.h"

#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace basilhall::entry
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kAnswerTimeout = std::chrono::seconds(1);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
// Maximum time that a call waits while its team's limiter moves to another host.
constexpr Duration kLimiterSearchTimeout = std::chrono::seconds(3);
constexpr Duration kSearchInterval = std::chrono::milliseconds(200);

using VerdictMailbox = Mailbox<limit::Verdict>;

Error limiterUnreachableError(const TeamName &team)
{
    return Error(ErrorKind::Unavailable,
                 "the limiter of team \"" + team.value() + "\" cannot be reached")
        .withNotRun()
        .withRetryAfter(kRetryAfter);
}

limit::GrantRequest askFromRequest(const wire::AcquireRequest &request)
{
    return {TeamName(request.team()), request.slice(), request.number(), request.settled(),
            request.requests()};
}

wire::AcquireRequest requestFromAsk(const limit::GrantRequest &ask, const Incarnation &host)
{
    wire::AcquireRequest request;
    request.set_team(ask.team.value());
    request.set_host_incarnation(host.value());
    request.set_slice(ask.slice);
    request.set_number(ask.number);
    request.set_settled(ask.settled);
    request.set_requests(ask.requests);
    return request;
}

} // namespace

class LimitGate::Private : public std::enable_shared_from_this<LimitGate::Private>
{
public:
    Private(asio::any_io_executor controlExecutor, limit::Limiter &localLimiter,
            transport::StreamClient &client, std::function<RoutingViewPtr()> currentView,
            std::function<Instant()> clock, Incarnation incarnation)
        : control(std::move(controlExecutor))
        , limiter(localLimiter)
        , controlClient(client)
        , view(std::move(currentView))
        , now(std::move(clock))
        , self(std::move(incarnation))
        , cache(limit::GrantCacheSettings())
    {
    }

    std::uint32_t slicesOf(const TeamName &team) const;
    void perform(limit::GrantActions actions);
    static asio::awaitable<void> runAsk(std::shared_ptr<Private> self, limit::GrantRequest ask);
    asio::awaitable<Result<limit::Grant>> askLimiter(const limit::GrantRequest &ask);

    const asio::any_io_executor control;
    limit::Limiter &limiter;
    transport::StreamClient &controlClient;
    const std::function<RoutingViewPtr()> view;
    const std::function<Instant()> now;
    const Incarnation self;
    limit::GrantCache cache;
    limit::Ticket lastTicket = 0;
    std::unordered_map<limit::Ticket, std::shared_ptr<VerdictMailbox>> waiting;
};

LimitGate::LimitGate(asio::any_io_executor control, limit::Limiter &limiter,
                     transport::StreamClient &controlClient, std::function<RoutingViewPtr()> view,
                     std::function<Instant()> now, Incarnation self)
    : d(std::make_shared<Private>(std::move(control), limiter, controlClient, std::move(view),
                                  std::move(now), std::move(self)))
{
}

LimitGate::~LimitGate() = default;

asio::awaitable<Result<void>> LimitGate::admit(TeamName team)
{
    const auto self = d;
    const auto executor = co_await asio::this_coro::executor;
    const auto mailbox = std::make_shared<VerdictMailbox>(executor);
    const Instant deadline = self->now() + kLimiterSearchTimeout;
    while (true) {
        asio::post(self->control, [self, team, mailbox] {
            const limit::Ticket ticket = ++self->lastTicket;
            self->waiting.emplace(ticket, mailbox);
            self->perform(self->cache.admit(ticket, team, self->now(), self->slicesOf(team)));
        });
        const limit::Verdict verdict = co_await mailbox->take();
        if (verdict.refused) {
            const bool mayChange = verdict.refused->kind() == ErrorKind::Unavailable;
            if (!mayChange || self->now() >= deadline) {
                co_return *verdict.refused;
            }
            asio::steady_timer pause(executor, kSearchInterval);
            co_await pause.async_wait(asio::use_awaitable);
            continue;
        }
        const bool isInTime = self->now() < verdict.permit.expires;
        asio::post(self->control,
                   [self, team, permit = verdict.permit] { self->cache.onSent(team, permit); });
        if (isInTime) {
            co_return success();
        }
    }
}

wire::AcquireReply LimitGate::handleAcquire(const wire::AcquireRequest &request)
{
    const Result<limit::Grant> grant = d->limiter.acquire(Incarnation(request.host_incarnation()),
                                                          askFromRequest(request), d->now());
    wire::AcquireReply reply;
    if (!grant) {
        *reply.mutable_error() = wire::toReply(grant.error());
        return reply;
    }
    reply.set_granted(grant.value().requests);
    reply.set_valid_ms(
        std::chrono::duration_cast<std::chrono::milliseconds>(grant.value().validity).count());
    return reply;
}

void LimitGate::forgetIdle()
{
    d->cache.forgetIdle(d->now());
}

std::uint32_t LimitGate::Private::slicesOf(const TeamName &team) const
{
    const RoutingViewPtr current = view();
    const manifest::Team *entry =
        current->manifest == nullptr ? nullptr : current->manifest->team(team);
    return entry == nullptr ? 1 : sliceCount(*entry);
}

void LimitGate::Private::perform(limit::GrantActions actions)
{
    for (limit::Verdict &verdict : actions.verdicts) {
        const auto found = waiting.find(verdict.ticket);
        if (found != waiting.end()) {
            found->second->put(std::move(verdict));
            waiting.erase(found);
        }
    }
    for (limit::GrantRequest &ask : actions.grantRequests) {
        asio::co_spawn(control, runAsk(shared_from_this(), std::move(ask)), asio::detached);
    }
}

asio::awaitable<void> LimitGate::Private::runAsk(std::shared_ptr<Private> self,
                                                 limit::GrantRequest ask)
{
    const Result<limit::Grant> grant = co_await self->askLimiter(ask);
    self->perform(grant ? self->cache.onGranted(ask, grant.value(), self->now())
                        : self->cache.onFailed(ask, grant.error(), self->now()));
}

asio::awaitable<Result<limit::Grant>> LimitGate::Private::askLimiter(const limit::GrantRequest &ask)
{
    const RoutingViewPtr current = view();
    const ShardOwner *const owner = current->ownerOf(limit::SliceKey{ask.team, ask.slice});
    if (owner != nullptr && owner->isSelf) {
        co_return limiter.acquire(self, ask, now());
    }
    if (owner == nullptr || !owner->address) {
        co_return limiterUnreachableError(ask.team);
    }
    const Result<std::string> reply =
        co_await askPeer(controlClient, *owner->address, "/acquire",
                         requestFromAsk(ask, self).SerializeAsString(), kAnswerTimeout);
    wire::AcquireReply answer;
    if (!reply || !answer.ParseFromString(reply.value())) {
        co_return limiterUnreachableError(ask.team);
    }
    if (answer.has_error()) {
        const Error error = wire::fromReply(answer.error());
        co_return error.kind() == ErrorKind::NotOwner ? limiterUnreachableError(ask.team) : error;
    }
    co_return limit::Grant{answer.granted(), std::chrono::milliseconds(answer.valid_ms())};
}

} // namespace basilhall::entry
