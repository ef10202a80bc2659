// Orders the calls of an agent: first by priority class, then by weighted fair sharing of tokens
// between teams, then by least attained service of the programs of a team, with aging from the
// start of each program.
//
//     FairQueue queue(settings);
//     queue.push(item);
//     std::optional<QueuedCall> next = queue.pop(now);
//     queue.settle(*next, tokensServed);   // corrects the estimate that pop charged
//
// A class runs before the lower classes, but is limited to its share of the tokens while they wait.
#pragma once

#include "basilhall/schedule/call_queue.h"
#include "basilhall/schedule/class_queue.h"

#include <array>
#include <unordered_map>

namespace basilhall::schedule
{

// Not thread-safe. Each operation is O(log n). Memory grows with the number of waiting calls.
class FairQueue
{
public:
    explicit FairQueue(const OrderSettings &settings);

    bool push(QueuedCall item);
    std::optional<QueuedCall> pop(Instant now);
    bool remove(const CallId &callId);

    // Returns the class of the call that `pop` would return, or nullopt. An agent that reserves
    // capacity for urgent calls checks this before `pop`.
    std::optional<PriorityClass> nextPriority() const;

    // Replaces the estimate of a call that `pop` returned by the tokens that it was served.
    void settle(const QueuedCall &item, std::uint64_t servedTokens);

    std::size_t size() const { return m_items.size(); }
    std::uint64_t queuedTokens() const { return m_queuedTokens; }

private:
    struct Entry {
        QueuedCall item;
        TeamQueue::Rank rank;
    };

    std::size_t nextClass() const;
    void chargeClass(std::size_t index, std::int64_t tokens);
    QueuedCall take(std::uint64_t number);

    OrderSettings m_settings;
    std::array<ClassQueue, kPriorityClassCount> m_classes;
    // Tokens, in 1/1000, by which each class exceeded its share while lower classes waited.
    std::array<std::int64_t, kPriorityClassCount> m_excessMilliTokens{};
    std::unordered_map<std::uint64_t, Entry> m_items;
    std::unordered_map<CallId, std::uint64_t> m_numbers;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_queuedTokens = 0;
};

static_assert(CallQueue<FairQueue>);

} // namespace basilhall::schedule
