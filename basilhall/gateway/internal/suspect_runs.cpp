#include "basilhall/gateway/internal/suspect_runs.h"

#include <algorithm>

namespace basilhall::gateway
{

SuspectRuns::Place SuspectRuns::enter(suspects::RequestKey key, const EndpointName &endpoint,
                                      bool isLikely)
{
    std::erase_if(m_runs, [](const auto &run) { return run.expired(); });
    auto run = std::make_shared<const Run>(Run{key, endpoint, isLikely});
    m_runs.push_back(run);
    return run;
}

bool SuspectRuns::isRunning(suspects::RequestKey key) const
{
    return std::any_of(m_runs.begin(), m_runs.end(), [key](const auto &entry) {
        const auto run = entry.lock();
        return run && run->key == key;
    });
}

std::set<EndpointName> SuspectRuns::endpoints() const
{
    std::set<EndpointName> names;
    for (const auto &entry : m_runs) {
        if (const auto run = entry.lock()) {
            names.insert(run->endpoint);
        }
    }
    return names;
}

std::set<EndpointName> SuspectRuns::endangered() const
{
    std::set<EndpointName> names;
    for (const auto &entry : m_runs) {
        const auto run = entry.lock();
        if (run && run->isLikely) {
            names.insert(run->endpoint);
        }
    }
    return names;
}

} // namespace basilhall::gateway
