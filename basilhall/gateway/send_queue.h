// Orders the requests that wait until an endpoint of their service may get one more: those of
// programs that have begun first, then in the order of their arrival.
//
//     SendQueue queue;
//     SendQueue::Place place = queue.enter("tools", SendRank::BegunProgram);
//     if (queue.ahead("tools", SendRank::BegunProgram, place) == 0) { ... }
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace basilhall::gateway
{

enum class SendRank {
    BegunProgram,
    Other,
};

// Not thread-safe.
class SendQueue
{
public:
    // A request's place in the queue, which it leaves with the destruction of this object. May
    // outlive the queue.
    class Place
    {
    public:
        Place() = default;
        explicit operator bool() const { return m_entry != nullptr; }

    private:
        friend class SendQueue;
        std::shared_ptr<const std::pair<SendRank, std::uint64_t>> m_entry;
    };

    SendQueue();

    Place enter(const std::string &service, SendRank rank);
    // Number of waiting requests that are sent before this one; `place` is empty if it does not
    // wait yet.
    std::size_t ahead(const std::string &service, SendRank rank, const Place &place) const;
    // Number of waiting requests.
    std::size_t size(const std::string &service) const;
    // Number of waiting requests of this rank, by service.
    std::map<std::string, std::size_t> waiting(SendRank rank) const;

private:
    using Entries = std::set<std::pair<SendRank, std::uint64_t>>;

    std::shared_ptr<std::map<std::string, Entries>> m_entries;
    std::uint64_t m_next = 0;
};

} // namespace basilhall::gateway
