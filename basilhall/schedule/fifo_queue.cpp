#include "basilhall/schedule/fifo_queue.h"

namespace basilhall::schedule
{

bool FifoQueue::push(QueuedCall item)
{
    const std::uint64_t number = m_lastNumber + 1;
    if (!m_numbers.try_emplace(item.callId, number).second) {
        return false;
    }
    m_lastNumber = number;
    m_queuedTokens += item.estimatedTokens;
    m_items.emplace(number, std::move(item));
    return true;
}

std::optional<QueuedCall> FifoQueue::pop(Instant /*now*/)
{
    if (m_items.empty()) {
        return std::nullopt;
    }
    QueuedCall item = std::move(m_items.begin()->second);
    m_items.erase(m_items.begin());
    m_numbers.erase(item.callId);
    m_queuedTokens -= item.estimatedTokens;
    return item;
}

bool FifoQueue::remove(const CallId &callId)
{
    const auto found = m_numbers.find(callId);
    if (found == m_numbers.end()) {
        return false;
    }
    const auto item = m_items.find(found->second);
    m_queuedTokens -= item->second.estimatedTokens;
    m_items.erase(item);
    m_numbers.erase(found);
    return true;
}

} // namespace basilhall::schedule
