// Which endpoints may get work, from what the platform's store says of them.
//
//     EndpointDirectory directory(kReturnGrace);
//     directory.replaceAll(listed, true, now); // after the store was out of reach
//     directory.noteTrouble(now);
//     directory.set(endpoint);
//     directory.remove(name);
//     directory.expire(now);
#pragma once

#include "basilhall/fleet/endpoint.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace basilhall::fleet
{

// Not thread-safe.
class EndpointDirectory
{
public:
    // Registrations that lapsed while the store was away count for `returnGrace` after its return.
    explicit EndpointDirectory(Duration returnGrace);

    // Takes a whole list. With `afterOutage`, endpoints that it lacks stay until the grace ends.
    void replaceAll(const std::vector<Endpoint> &listed, bool afterOutage, Instant now);
    // The store refuses or does not answer: registrations may lapse though their endpoints live.
    // The grace begins anew.
    void noteTrouble(Instant now);
    void set(const Endpoint &endpoint);
    // A removal that the store reports; during the grace it counts only at its end.
    void remove(const EndpointName &name, Instant now);
    // Drops what has not come back. Returns the names that were dropped.
    std::vector<EndpointName> expire(Instant now);
    // When expire() next has something to do.
    std::optional<Instant> nextExpiry() const;

    const Endpoint *find(const EndpointName &name) const;
    const std::unordered_map<EndpointName, Endpoint> &endpoints() const { return m_endpoints; }

private:
    Duration m_returnGrace;
    std::optional<Instant> m_graceEnd;
    std::unordered_map<EndpointName, Endpoint> m_endpoints;
    // Endpoints without a registration, dropped when the grace ends.
    std::vector<EndpointName> m_lapsed;
};

} // namespace basilhall::fleet
