// One endpoint with the agent beside it: a queue from basilhall/schedule before a bounded engine.
#pragma once

#include "basilhall/route/endpoint_load.h"
#include "basilhall/schedule/fair_queue.h"
#include "basilhall/schedule/fifo_queue.h"
#include "bench/policy/engine_model.h"
#include "bench/policy/way.h"

#include <variant>

namespace basilhall::bench
{

class EndpointModel
{
public:
    EndpointModel(const Way &way, const PoolShape &shape, EngineModel::Evicted evicted);

    void push(const schedule::QueuedCall &item);
    std::optional<schedule::QueuedCall> pop(Instant now);
    void remove(const CallId &call);
    void settle(const schedule::QueuedCall &item, std::uint64_t servedTokens);

    bool hasPlace() const { return isAlive && running < engine.capacity(); }
    // False if the free places are kept for urgent calls and the next one is not.
    bool mayPop(std::uint32_t urgentPlaces) const;
    route::EndpointLoad load() const;
    // Forgets its queue, its running calls and its cache.
    void fail();

    EngineModel engine;
    std::uint32_t running = 0;
    bool isAlive = true;
    bool isDraining = false;
    // Rises at each failure; what was begun before is lost.
    std::uint32_t life = 0;

private:
    using Queue = std::variant<schedule::FifoQueue, schedule::FairQueue>;

    static Queue makeQueue(const Way &way);

    Way m_way;
    Queue m_queue;
};

} // namespace basilhall::bench
