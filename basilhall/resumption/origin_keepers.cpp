#include "basilhall/resumption/origin_keepers.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace basilhall::resumption
{

std::vector<HostName> originKeepers(const CallId &attempt, const std::set<HostName> &hosts,
                                    std::size_t count)
{
    std::vector<std::pair<std::size_t, HostName>> ranked;
    ranked.reserve(hosts.size());
    for (const HostName &host : hosts) {
        ranked.emplace_back(std::hash<std::string>()(attempt.value() + "/" + host.value()), host);
    }
    const std::size_t selected = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(selected),
                      ranked.end());
    std::vector<HostName> keepers;
    for (std::size_t i = 0; i < selected; ++i) {
        keepers.push_back(ranked[i].second);
    }
    return keepers;
}

} // namespace basilhall::resumption
