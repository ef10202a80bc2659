#include "basilhall/gateway/send_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace basilhall::gateway
{

SendQueue::SendQueue()
    : m_entries(std::make_shared<std::map<std::string, Entries>>())
{
}

SendQueue::Place SendQueue::enter(const std::string &service, SendRank rank)
{
    using Entry = std::pair<SendRank, std::uint64_t>;
    const Entry entry{rank, m_next++};
    (*m_entries)[service].insert(entry);
    Place place;
    place.m_entry = std::shared_ptr<const Entry>(
        new Entry(entry), [weak = std::weak_ptr(m_entries), service](const Entry *left) {
            if (const auto entries = weak.lock()) {
                (*entries)[service].erase(*left);
            }
            delete left;
        });
    return place;
}

std::size_t SendQueue::ahead(const std::string &service, SendRank rank, const Place &place) const
{
    const auto found = m_entries->find(service);
    if (found == m_entries->end()) {
        return 0;
    }
    const Entries &entries = found->second;
    const auto end = place ? entries.lower_bound(*place.m_entry)
                           : entries.upper_bound({rank, std::numeric_limits<std::uint64_t>::max()});
    return static_cast<std::size_t>(std::distance(entries.begin(), end));
}

std::size_t SendQueue::size(const std::string &service) const
{
    const auto found = m_entries->find(service);
    return found == m_entries->end() ? 0 : found->second.size();
}

std::map<std::string, std::size_t> SendQueue::waiting(SendRank rank) const
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[service, entries] : *m_entries) {
        const auto count = std::count_if(entries.begin(), entries.end(),
                                         [rank](const auto &entry) { return entry.first == rank; });
        if (count > 0) {
            counts.emplace(service, static_cast<std::size_t>(count));
        }
    }
    return counts;
}

} // namespace basilhall::gateway
