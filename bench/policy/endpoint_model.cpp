#include "bench/policy/endpoint_model.h"

namespace basilhall::bench
{

EndpointModel::EndpointModel(const Way &way, const PoolShape &shape, EngineModel::Evicted evicted)
    : engine(shape, std::move(evicted))
    , m_way(way)
    , m_queue(makeQueue(way))
{
}

void EndpointModel::push(const schedule::QueuedCall &item)
{
    schedule::QueuedCall queued = item;
    if (!m_way.teams) {
        queued.team = TeamName("all");
    }
    if (!m_way.classes) {
        queued.priority = schedule::PriorityClass::Normal;
    }
    if (!m_way.attained) {
        queued.attainedTokens = 0;
    }
    std::visit([&](auto &queue) { queue.push(queued); }, m_queue);
}

std::optional<schedule::QueuedCall> EndpointModel::pop(Instant now)
{
    return std::visit([&](auto &queue) { return queue.pop(now); }, m_queue);
}

bool EndpointModel::mayPop(std::uint32_t urgentPlaces) const
{
    const auto *fair = std::get_if<schedule::FairQueue>(&m_queue);
    return fair == nullptr || engine.capacity() - running > urgentPlaces
        || fair->nextPriority() == schedule::PriorityClass::Urgent;
}

void EndpointModel::remove(const CallId &call)
{
    std::visit([&](auto &queue) { queue.remove(call); }, m_queue);
}

void EndpointModel::settle(const schedule::QueuedCall &item, std::uint64_t servedTokens)
{
    if (auto *fair = std::get_if<schedule::FairQueue>(&m_queue)) {
        fair->settle(item, servedTokens);
    }
}

route::EndpointLoad EndpointModel::load() const
{
    route::EndpointLoad load;
    load.running = running;
    load.queued = static_cast<std::uint32_t>(
        std::visit([](const auto &queue) { return queue.size(); }, m_queue));
    load.capacity = engine.capacity();
    load.queuedTokens = std::visit([](const auto &queue) { return queue.queuedTokens(); }, m_queue);
    load.draining = isDraining;
    return load;
}

void EndpointModel::fail()
{
    isAlive = false;
    running = 0;
    ++life;
    engine.clear();
    m_queue = makeQueue(m_way);
}

EndpointModel::Queue EndpointModel::makeQueue(const Way &way)
{
    if (way.fairQueue) {
        return schedule::FairQueue(way.order);
    }
    return schedule::FifoQueue();
}

} // namespace basilhall::bench
