// A running endpoint as its registration describes it.
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
    // Requests that it runs at once.
    std::uint32_t slots = 1;
    // True while it finishes what it has and takes nothing new.
    bool isLeaving = false;
    // Wall-clock time of its start, in ms; a later start under the same name holds nothing of
    // before. 0 if unknown.
    WallMillis startedAt = 0;

    auto operator<=>(const Endpoint &) const = default;
};

} // namespace basilhall::fleet
