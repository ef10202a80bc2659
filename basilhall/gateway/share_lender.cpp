#include "basilhall/gateway/share_lender.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/gateway.pb.h"
#include "basilhall/gateway/internal/peer_requests.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <utility>

namespace basilhall::gateway
{

namespace asio = boost::asio;
using logging::Field;
using metrics::Metric;
using placement::kLoanTime;
using placement::ShareLoans;

namespace
{

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
// Interval between log lines, each of which sums up the questions since the previous one.
constexpr Duration kLogInterval = std::chrono::seconds(10);

} // namespace

class ShareLender::Private : public std::enable_shared_from_this<ShareLender::Private>
{
public:
    Private(const asio::any_io_executor &e, FleetState &s, Ask a, logging::Log l,
            metrics::Registry &registry)
        : executor(e)
        , state(s)
        , ask(std::move(a))
        , log(std::move(l))
        , asked(registry.counter(Metric::ShareLoans, "asked"))
        , granted(registry.counter(Metric::ShareLoans, "granted"))
        , refused(registry.counter(Metric::ShareLoans, "refused"))
        , late(registry.counter(Metric::ShareLoans, "late"))
    {
    }

    static Instant now() { return MonotonicClock().now(); }

    // Asks the peers one after the other until one lends.
    static asio::awaitable<void> runQuestion(std::shared_ptr<Private> self, EndpointName endpoint,
                                             ShareLoans::Question question)
    {
        wire::LendRequest request;
        request.set_endpoint(endpoint.value());
        request.set_requests(question.requests);
        const std::string message = request.SerializeAsString();
        // A question that ends at once must not do so before borrow() returns: nobody waits yet.
        co_await asio::post(self->executor, asio::use_awaitable);
        if (self->isClosed) {
            co_return;
        }
        const Instant begunAt = now();
        for (const HostName &peer : question.peers) {
            const Instant askedAt = now();
            const Duration left = begunAt + kLoanTime - askedAt;
            if (left <= Duration::zero()) {
                break;
            }
            count(self->asked, self->sums.asked);
            const auto bytes = co_await self->ask(peer, kLendMethod, message, left);
            if (self->isClosed) {
                co_return;
            }
            if (self->takeReply(endpoint, peer, question.requests, askedAt, bytes)) {
                break;
            }
        }
        self->state.shareLoans().onEnded(endpoint, question);
        self->logSums(endpoint);
        self->wakeAll();
    }

    // Returns true if the peer has lent a request.
    bool takeReply(const EndpointName &endpoint, const HostName &peer, std::uint32_t requests,
                   Instant askedAt, const std::optional<std::string> &bytes)
    {
        const Instant at = now();
        wire::LendReply reply;
        // The time limit of the request does not count time in which this host is late.
        if (!bytes || at - askedAt > kLoanTime || !reply.ParseFromString(*bytes)) {
            count(late, sums.late);
            state.shareLoans().onNoReply(peer, at);
            return false;
        }
        const std::uint32_t lent = std::min(reply.granted(), requests);
        state.shareLoans().onReply(endpoint, peer, requests, lent, at);
        for (std::uint32_t i = 0; i < lent; ++i) {
            state.placement().limits().onBorrowed(endpoint, at + kLoanTime);
        }
        sums.requests += lent;
        if (lent > 0) {
            count(granted, sums.granted);
        } else {
            count(refused, sums.refused);
        }
        return lent > 0;
    }

    void wakeAll()
    {
        for (const auto &[number, timer] : timers) {
            timer->cancel();
        }
    }

    static void count(metrics::Counter &counter, std::uint64_t &sum)
    {
        counter.add();
        ++sum;
    }

    // `endpoint` is that of the last question.
    void logSums(const EndpointName &endpoint)
    {
        if (now() < nextLogAt) {
            return;
        }
        nextLogAt = now() + kLogInterval;
        log.info("Asked peers for their shares of endpoint limits.", Field("endpoint", endpoint),
                 Field("asked", sums.asked), Field("granted", sums.granted),
                 Field("refused", sums.refused), Field("late", sums.late),
                 Field("requests", sums.requests));
        sums = Sums();
    }

    // Since the last log line.
    struct Sums {
        std::uint64_t asked = 0;
        std::uint64_t granted = 0;
        std::uint64_t refused = 0;
        std::uint64_t late = 0;
        // That were borrowed.
        std::uint64_t requests = 0;
    };

    asio::any_io_executor executor;
    FleetState &state;
    Ask ask;
    logging::Log log;
    metrics::Counter &asked;
    metrics::Counter &granted;
    metrics::Counter &refused;
    metrics::Counter &late;
    Sums sums;
    Instant nextLogAt = Instant::min();
    // In the order of their registration.
    std::map<std::uint64_t, std::shared_ptr<asio::steady_timer>> timers;
    std::uint64_t nextTimer = 0;
    bool isClosed = false;
};

ShareLender::ShareLender(const asio::any_io_executor &executor, FleetState &state, Ask ask,
                         logging::Log log, metrics::Registry &registry)
    : d(std::make_shared<Private>(executor, state, std::move(ask), std::move(log), registry))
{
}

ShareLender::~ShareLender()
{
    d->isClosed = true;
}

bool ShareLender::borrow(const fleet::Endpoint &endpoint, std::size_t waiting, Instant now)
{
    ShareLoans &loans = d->state.shareLoans();
    auto question = loans.ask(endpoint.name, d->state.placement().limits().limitOf(endpoint, now),
                              std::max<std::size_t>(waiting, 1), waiting > 0, now);
    if (question) {
        asio::co_spawn(d->executor, Private::runQuestion(d, endpoint.name, std::move(*question)),
                       asio::detached);
    }
    return loans.isAsking(endpoint.name);
}

asio::awaitable<void> ShareLender::pause(Duration most)
{
    const auto self = d;
    const std::uint64_t number = self->nextTimer++;
    const auto timer = std::make_shared<asio::steady_timer>(self->executor, most);
    self->timers.emplace(number, timer);
    (void)co_await timer->async_wait(kTuple);
    self->timers.erase(number);
}

void ShareLender::onSent(const fleet::Endpoint &endpoint, Instant now)
{
    if (!d->state.placement().limits().limitOf(endpoint, now)) {
        return;
    }
    d->state.shareLoans().onSent(endpoint.name, now);
    if (d->state.shareLoans().hasLoan(endpoint.name, now)) {
        // The next request in the queue may go on.
        d->wakeAll();
    }
}

asio::awaitable<void> pauseForLoan(ShareLender *lender, Duration most)
{
    if (lender != nullptr) {
        co_await lender->pause(most);
        co_return;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor, most);
    (void)co_await timer.async_wait(kTuple);
}

} // namespace basilhall::gateway
