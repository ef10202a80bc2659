#include "basilhall/gateway/internal/shared_reads.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/transport/signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <utility>

namespace basilhall::gateway
{

namespace asio = boost::asio;

class SharedReads::Private : public std::enable_shared_from_this<SharedReads::Private>
{
public:
    // A read that the callers wait for.
    struct Round {
        explicit Round(const asio::any_io_executor &executor)
            : ended(executor)
        {
        }

        transport::Signal ended;
        std::optional<Result<void>> result;
    };

    Private(asio::any_io_executor e, Duration i, Read r)
        : executor(std::move(e))
        , interval(i)
        , readStore(std::move(r))
    {
    }

    static asio::awaitable<Result<void>> read(std::shared_ptr<Private> self)
    {
        std::shared_ptr<Round> round = self->next;
        if (!round) {
            round = std::make_shared<Round>(self->executor);
            self->next = round;
            // May begin the read before it returns.
            asio::co_spawn(self->executor, run(self, round), asio::detached);
        }
        while (!round->result) {
            co_await round->ended.wait();
        }
        co_return *round->result;
    }

    static asio::awaitable<void> run(std::shared_ptr<Private> self, std::shared_ptr<Round> round)
    {
        const Instant now = MonotonicClock().now();
        if (now < self->earliest) {
            asio::steady_timer timer(self->executor, self->earliest - now);
            (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        // Later callers need another read.
        self->next.reset();
        self->earliest = MonotonicClock().now() + self->interval;
        round->result = co_await self->readStore();
        round->ended.notify();
    }

    asio::any_io_executor executor;
    Duration interval;
    Read readStore;
    // The read that has not begun.
    std::shared_ptr<Round> next;
    // When the next read may begin.
    Instant earliest = Instant::min();
};

SharedReads::SharedReads(const asio::any_io_executor &executor, Duration interval, Read read)
    : d(std::make_shared<Private>(executor, interval, std::move(read)))
{
}

SharedReads::~SharedReads() = default;

asio::awaitable<Result<void>> SharedReads::read()
{
    co_return co_await Private::read(d);
}

} // namespace basilhall::gateway
