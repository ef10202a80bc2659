#include "basilhall/gateway/internal/team_admission.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/call_context.h"
#include "basilhall/gateway/fleet_state.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace basilhall::gateway
{

namespace asio = boost::asio;

namespace
{

// Longest time that a request waits for the limit of its team. The objectives of programs are
// seconds; a refused caller comes back later than this.
constexpr Duration kMaxLimitWait = std::chrono::milliseconds(100);
// Others may take what has been refilled meanwhile.
constexpr Duration kMinLimitPause = std::chrono::milliseconds(5);

} // namespace

asio::awaitable<Result<void>> admitByTeam(FleetState &state, std::shared_ptr<CallContext> context)
{
    if (context->team == nullptr) {
        co_return success();
    }
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const Instant latest = std::min(context->arrivedAt + kMaxLimitWait, context->deadline);
    while (true) {
        const Instant now = MonotonicClock().now();
        const Result<void> admitted = state.admit(context->team->name, context->beginsProgram, now);
        if (admitted || context->beginsProgram) {
            co_return admitted;
        }
        const Duration pause = std::max<Duration>(
            admitted.error().retryAfter().value_or(kMaxLimitWait), kMinLimitPause);
        if (now + pause > latest) {
            co_return admitted;
        }
        timer.expires_after(pause);
        (void)co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (context->isCallerGone) {
            co_return Error(ErrorKind::Cancelled, "the caller disconnected");
        }
    }
}

} // namespace basilhall::gateway
