// The entry of an endpoint in the manifest.
#pragma once

#include "basilhall/base/identifier.h"

#include <compare>

namespace basilhall::route
{

// Immutable value.
struct EndpointInfo {
    EndpointName name;
    FailureDomain domain;

    auto operator<=>(const EndpointInfo &) const = default;
};

} // namespace basilhall::route
