#include "basilhall/gateway/internal/answer_watch.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace basilhall::gateway
{

namespace
{

// Number of checks on time within the limit.
constexpr int kChecks = 5;
// Number of checks, late or not, after which a call counts as unanswered: a check follows the
// events before it, so each answer that arrived before the last checks has been read.
constexpr int kMaxChecks = 2 * kChecks;
// Delay of a check from which the event loop counts as late.
constexpr Duration kLate = std::chrono::milliseconds(10);

} // namespace

class AnswerWatch::Private : public std::enable_shared_from_this<AnswerWatch::Private>
{
public:
    Private(const boost::asio::any_io_executor &executor, Duration l, std::function<void()> s)
        : timer(executor)
        , limit(l)
        , onSilent(std::move(s))
    {
    }

    void scheduleCheck()
    {
        timer.expires_after(limit / kChecks);
        timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->check();
            }
        });
    }

    void check()
    {
        if (!isWaiting) {
            return;
        }
        const Duration delay = std::chrono::steady_clock::now() - timer.expiry();
        ++checks;
        punctualChecks += delay < kLate ? 1 : 0;
        if (punctualChecks < kChecks && checks < kMaxChecks) {
            scheduleCheck();
            return;
        }
        isSilent = true;
        onSilent();
    }

    boost::asio::steady_timer timer;
    Duration limit;
    std::function<void()> onSilent;
    int checks = 0;
    int punctualChecks = 0;
    bool isWaiting = false;
    bool isSilent = false;
};

AnswerWatch::AnswerWatch(const boost::asio::any_io_executor &executor, Duration limit,
                         std::function<void()> onSilent)
    : d(std::make_shared<Private>(executor, limit, std::move(onSilent)))
{
}

AnswerWatch::~AnswerWatch()
{
    d->timer.cancel();
}

void AnswerWatch::onSent()
{
    d->isWaiting = true;
    d->checks = 0;
    d->punctualChecks = 0;
    if (!d->isSilent) {
        d->scheduleCheck();
    }
}

void AnswerWatch::onAnswered()
{
    d->isWaiting = false;
    d->isSilent = false;
    d->timer.cancel();
}

bool AnswerWatch::isSilent() const
{
    return d->isSilent;
}

} // namespace basilhall::gateway
