// A peer that is subscribed to the updates of this process, with the messages queued for it.
//
//     subscriber.send(message);
//     const auto next = subscriber.takeFirst();
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/transport/signal.h"

#include <boost/asio/any_io_executor.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>

namespace basilhall::gateway
{

// Maximum number of messages queued for a slow subscriber. When exceeded, the stream is reset, and
// the peer subscribes again and reads the turns that it missed.
inline constexpr std::size_t kMaxQueued = 2000;
// The same for their bytes: what one gateway keeps in two seconds of turns of the largest size. All
// subscribers share the messages.
inline constexpr std::size_t kMaxQueuedBytes = 8UL * 1024 * 1024;

// Not thread-safe.
struct Subscriber {
    explicit Subscriber(const boost::asio::any_io_executor &executor)
        : wake(executor)
    {
    }

    void send(const std::shared_ptr<const std::string> &message)
    {
        const bool isTooSlow =
            queue.size() >= kMaxQueued || queuedBytes + message->size() > kMaxQueuedBytes;
        if (isTooSlow && !queue.empty()) {
            isCancelled = true;
            queue.clear();
            queuedBytes = 0;
        } else if (!isCancelled) {
            queue.push_back(message);
            queuedBytes += message->size();
        }
        wake.notify();
    }

    // Removes the first message of a queue that is not empty.
    std::shared_ptr<const std::string> takeFirst()
    {
        auto message = std::move(queue.front());
        queue.pop_front();
        queuedBytes -= message->size();
        return message;
    }

    std::deque<std::shared_ptr<const std::string>> queue;
    std::size_t queuedBytes = 0;
    transport::Signal wake;
    Incarnation incarnation;
    FailureDomain failureDomain;
    bool wantsTurns = false;
    bool isCancelled = false;
};

} // namespace basilhall::gateway
