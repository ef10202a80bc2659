// The interface of a queue of calls waiting for an endpoint.
//
//     static_assert(CallQueue<FairQueue>);
#pragma once

#include "basilhall/schedule/queued_call.h"

#include <concepts>
#include <optional>

namespace basilhall::schedule
{

// `push` returns false if a call with that id is already queued. `pop` returns the next call to
// run, or nullopt; it also returns calls past their deadline, which the caller must answer.
// `remove` returns false if no such call is queued.
// clang-format off
template<typename T>
concept CallQueue = requires(T &queue, const T &constQueue, QueuedCall item, CallId id, Instant now) {
    { queue.push(item) } -> std::same_as<bool>;
    { queue.pop(now) } -> std::same_as<std::optional<QueuedCall>>;
    { queue.remove(id) } -> std::same_as<bool>;
    { constQueue.size() } -> std::same_as<std::size_t>;
    { constQueue.queuedTokens() } -> std::same_as<std::uint64_t>;
};
// clang-format on

} // namespace basilhall::schedule
