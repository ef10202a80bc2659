// Endpoints that may get work, according to their registrations in the platform's store.
//
//     EndpointDirectory directory(kGracePeriod);
//     directory.replaceAll(listed, true, now); // after an outage of the store
//     directory.noteOutage(now);
//     directory.set(endpoint);
//     directory.remove(name, now);
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
    // Registrations that lapse during an outage of the store stay valid for `gracePeriod` after it.
    explicit EndpointDirectory(Duration gracePeriod);

    // Replaces all endpoints by `listed`. With `afterOutage` or during the grace period, endpoints
    // that the list lacks stay until the grace period ends.
    void replaceAll(const std::vector<Endpoint> &listed, bool afterOutage, Instant now);
    // The store refuses calls or does not answer, so registrations may lapse although their
    // endpoints are alive. Restarts the grace period.
    void noteOutage(Instant now);
    // A peer keeps lapsed registrations until `end`; this directory does too.
    void extendGracePeriod(Instant end);
    void set(const Endpoint &endpoint);
    // Handles a removal that the store reports. During the grace period it takes effect at its end.
    void remove(const EndpointName &name, Instant now);
    // After the grace period, drops the endpoints that were not registered again. Returns their
    // names.
    std::vector<EndpointName> expire(Instant now);
    // End of the grace period, when expire() has to be called; nothing if there is none.
    std::optional<Instant> nextExpiry() const;
    // Returns the endpoints without those whose registration lapsed and may return.
    std::vector<Endpoint> registered() const;
    // Time since this directory learnt that the registration was removed, for an endpoint that
    // stays nevertheless; nothing for others.
    std::optional<Duration> removedFor(const EndpointName &name, Instant now) const;
    // Number of endpoints without a registration that stay.
    std::size_t lapsedCount() const { return m_lapsed.size(); }

    const Endpoint *find(const EndpointName &name) const;
    const std::unordered_map<EndpointName, Endpoint> &endpoints() const { return m_endpoints; }

private:
    Duration m_gracePeriod;
    std::optional<Instant> m_gracePeriodEnd;
    std::unordered_map<EndpointName, Endpoint> m_endpoints;
    // Endpoints without a registration, dropped when the grace period ends, each with the time at
    // which the removal became known.
    std::unordered_map<EndpointName, Instant> m_lapsed;
};

} // namespace basilhall::fleet
