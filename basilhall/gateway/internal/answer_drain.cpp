#include "basilhall/gateway/internal/answer_drain.h"

#include "basilhall/base/monotonic_clock.h"

namespace basilhall::gateway
{

namespace
{

constexpr Duration kDrainTimeout = std::chrono::milliseconds(100);
constexpr std::size_t kMaxDrainedBytes = 64UL * 1024;

} // namespace

boost::asio::awaitable<void> drainAnswer(http::ResponseStream &stream)
{
    const Instant until = MonotonicClock().now() + kDrainTimeout;
    std::size_t drained = 0;
    while (drained <= kMaxDrainedBytes) {
        const Duration left = until - MonotonicClock().now();
        if (left <= Duration::zero()) {
            break;
        }
        const auto part = co_await stream.read(left);
        if (!part || !part.value()) {
            break;
        }
        drained += part.value()->size();
    }
}

} // namespace basilhall::gateway
