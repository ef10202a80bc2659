// The waiting calls of one team in one priority class. Calls of the program with the least attained
// service run first, with aging from the start of the program. Started programs therefore run
// before new ones, which keeps the number of programs in the endpoints' caches low, and programs
// that consume many tokens lose priority.
//
//     TeamQueue queue;
//     queue.insert(TeamQueue::rankOf(item, number, settings));
//     const TeamQueue::Rank next = queue.first();
#pragma once

#include "basilhall/schedule/order_settings.h"
#include "basilhall/schedule/queued_call.h"

#include <set>

namespace basilhall::schedule
{

// Not thread-safe. The relative order of two calls never changes while they wait, so the queue is
// kept sorted. Each operation is O(log n).
class TeamQueue
{
public:
    // Calls run in ascending order of rank. `number` is unique and distinguishes equal values.
    struct Rank {
        std::int64_t value = 0;
        std::uint64_t number = 0;

        auto operator<=>(const Rank &) const = default;
    };

    static Rank rankOf(const QueuedCall &item, std::uint64_t number, const OrderSettings &settings);

    void insert(const Rank &rank);
    void erase(const Rank &rank);

    bool isEmpty() const { return m_ranks.empty(); }
    // The rank of the call that runs first. Requires a waiting call.
    const Rank &first() const { return *m_ranks.begin(); }

private:
    std::set<Rank> m_ranks;
};

} // namespace basilhall::schedule
