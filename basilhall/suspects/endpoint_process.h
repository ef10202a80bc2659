// One run of an endpoint: an endpoint that restarts under its name is another process.
//
//     const EndpointProcess process{endpoint.name, endpoint.startedAt};
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <compare>

namespace basilhall::suspects
{

// Immutable value.
struct EndpointProcess {
    EndpointName name;
    // Wall-clock time of its start, in ms; 0 if unknown.
    WallMillis startedAt = 0;

    auto operator<=>(const EndpointProcess &) const = default;
};

} // namespace basilhall::suspects
