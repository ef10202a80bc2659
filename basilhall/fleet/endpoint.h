// A running endpoint as described by its registration in the platform's store.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace basilhall::fleet
{

// Immutable value.
struct Endpoint {
    EndpointName name;
    std::string service;
    Address address;
    FailureDomain failureDomain;
    // Maximum number of concurrent requests.
    std::uint32_t slots = 1;
    // True while it finishes its requests and accepts no new ones.
    bool isLeaving = false;
    // Wall-clock time of its start, in ms; 0 if unknown. An endpoint that restarts under the same
    // name has lost its cache and requests.
    WallMillis startedAt = 0;
    // Version of its software. A stream that one version began is not continued by another.
    std::string version{};
    // The end of the time in which it is cold, on the time line of this process; Instant::min() if
    // it is warm.
    Instant coldUntil = Instant::min();

    // What counts when endpoints are compared.
    auto fields() const
    {
        return std::tie(name, service, address, failureDomain, slots, isLeaving, startedAt,
                        version);
    }

    // Ignores `coldUntil`: each registration states the remaining time, which differs by the time
    // that the registration took to arrive, so comparing it would turn each into a change.
    friend auto operator<=>(const Endpoint &left, const Endpoint &right)
    {
        return left.fields() <=> right.fields();
    }
    friend bool operator==(const Endpoint &left, const Endpoint &right)
    {
        return left.fields() == right.fields();
    }
};

} // namespace basilhall::fleet
