// Which versions of a service were registered lately.
//
//     VersionHistory history;
//     history.begin(now);
//     history.onReplaced(endpoint, now); // removed, or registered again as another process
//     const auto version = history.onlyVersion("engines", directory.endpoints(), now - 10s);
#pragma once

#include "basilhall/fleet/endpoint.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

namespace basilhall::fleet
{

// Not thread-safe.
class VersionHistory
{
public:
    // The first complete list has arrived. Later calls have no effect.
    void begin(Instant now);
    // The registration is no longer in force; its process may serve on for a while.
    void onReplaced(const Endpoint &before, Instant now);
    // Returns the only version that was registered for the service since `since`; nullopt if there
    // were several or none, or if the history is shorter.
    std::optional<std::string>
    onlyVersion(const std::string &service,
                const std::unordered_map<EndpointName, Endpoint> &registered, Instant since) const;

private:
    std::optional<Instant> m_begin;
    // Last time at which a version of a service was registered that an endpoint has given up.
    std::map<std::pair<std::string, std::string>, Instant> m_replaced;
};

} // namespace basilhall::fleet
