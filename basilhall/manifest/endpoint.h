// An endpoint and its agent.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/manifest/endpoint_kind.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace basilhall::manifest
{

// Immutable value.
struct Endpoint {
    EndpointName name;
    EndpointKind kind = EndpointKind::Engine;
    HostName host;
    FailureDomain domain;
    // Address on which the agent of the endpoint listens for peers.
    Address agent;
    // Address of the endpoint itself; only its agent connects to it.
    Address address;
    // Names of models for an engine, of routes for a service.
    std::vector<std::string> serves;
    // Maximum number of concurrent calls.
    std::uint32_t capacity = 1;
    // True if the endpoint rejects requests with an outdated fencing number.
    bool honoursFencing = false;
    // True if the endpoint is draining and receives no new work.
    bool leaving = false;

    auto operator<=>(const Endpoint &) const = default;
};

} // namespace basilhall::manifest
