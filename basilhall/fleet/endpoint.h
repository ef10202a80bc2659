// A running endpoint as described by its registration in the platform's store.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>
#include <string>

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

    auto operator<=>(const Endpoint &) const = default;
};

} // namespace basilhall::fleet
