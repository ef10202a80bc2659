// The request limits that endpoints state in their answers. A limit applies to one process of an
// endpoint, from the answer that states it until one that states none; gateways pass on what they
// learn, and the newest answer counts.
//
//     NamedLimits limits;
//     const bool isChanged = limits.add(endpoint.name, {endpoint.startedAt, 5.5, now});
//     const std::optional<double> perSecond = limits.find(endpoint);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/fleet/endpoint.h"
#include "basilhall/placement/named_limit.h"

#include <map>
#include <optional>

namespace basilhall::placement
{

// Not thread-safe.
class NamedLimits
{
public:
    // Records a statement. Returns false if the limit stays as it was, also because an answer that
    // is newer, or of a later process, is known.
    bool add(const EndpointName &name, const NamedLimit &stated);
    // Returns the limit in requests a second that applies to this process of the endpoint, summed
    // over all gateways; nullopt if it has none. If a start is unknown, it is the same process.
    std::optional<double> find(const fleet::Endpoint &endpoint) const;
    // Drops statements that were not repeated for kRetention.
    void expire(Instant now);
    // All statements that are kept, including those that ended a limit.
    const std::map<EndpointName, NamedLimit> &all() const { return m_limits; }

    // An endpoint without requests cannot repeat its statement.
    static constexpr Duration kRetention = std::chrono::minutes(10);

private:
    std::map<EndpointName, NamedLimit> m_limits;
};

} // namespace basilhall::placement
