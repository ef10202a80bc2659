// Notices calls that are not answered, and tells them from a host that is late itself.
//
//     AnswerWatch watch(executor, 150ms, [] { ... });
//     watch.onSent();
//     ...
//     watch.onAnswered();
#pragma once

#include "basilhall/base/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

namespace basilhall::gateway
{

// Watches one call at a time. Time in which the event loop is late does not count: the request may
// not have been sent, and its answer may have arrived unread. A loop that is always late delays the
// end to twice the limit and its own delays. Not thread-safe.
class AnswerWatch
{
public:
    // `onSilent` is called when a call is not answered for `limit`, once until the next answer.
    AnswerWatch(const boost::asio::any_io_executor &executor, Duration limit,
                std::function<void()> onSilent);
    ~AnswerWatch();
    AnswerWatch(const AnswerWatch &) = delete;
    AnswerWatch &operator=(const AnswerWatch &) = delete;

    void onSent();
    void onAnswered();
    // True from the end of the limit until the next answer.
    bool isSilent() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace basilhall::gateway
