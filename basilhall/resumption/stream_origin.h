// Where a stream began: the endpoint whose first event an attempt of a caller brought, and the
// version of its software.
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace basilhall::resumption
{

// Immutable value.
struct StreamOrigin {
    // Names the stream.
    CallId attempt;
    TeamName team;
    std::string service;
    std::string version;
    EndpointName endpoint;
    // Start of the endpoint's process, in ms; 0 if unknown.
    WallMillis endpointStartedAt = 0;
    WallMillis sentAt = 0;
    // The caller may continue the stream until then.
    WallMillis keptUntil = 0;

    auto operator<=>(const StreamOrigin &) const = default;
};

} // namespace basilhall::resumption
