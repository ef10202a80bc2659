// The endpoint selected for a call, and the address and incarnation of its agent.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"

#include <compare>

namespace basilhall::owner
{

// Immutable value.
struct EndpointChoice {
    EndpointName endpoint;
    Address agent;
    Incarnation agentIncarnation;

    auto operator<=>(const EndpointChoice &) const = default;
};

} // namespace basilhall::owner
