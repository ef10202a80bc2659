// A first-come, first-served queue. Serves as the baseline for comparison with other queues.
#pragma once

#include "basilhall/schedule/call_queue.h"

#include <map>
#include <unordered_map>

namespace basilhall::schedule
{

// Not thread-safe. Memory grows with the number of waiting calls.
class FifoQueue
{
public:
    bool push(QueuedCall item);
    std::optional<QueuedCall> pop(Instant now);
    bool remove(const CallId &callId);

    std::size_t size() const { return m_items.size(); }
    std::uint64_t queuedTokens() const { return m_queuedTokens; }

private:
    std::map<std::uint64_t, QueuedCall> m_items;
    std::unordered_map<CallId, std::uint64_t> m_numbers;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_queuedTokens = 0;
};

static_assert(CallQueue<FifoQueue>);

} // namespace basilhall::schedule
