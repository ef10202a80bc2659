// Describes the endpoint that an agent forwards calls to.
//
//     const Endpoint endpoint{name, address, manifest::EndpointKind::Engine, 8, true};
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/manifest/endpoint_kind.h"

#include <compare>
#include <cstdint>

namespace basilhall::agent
{

// Immutable value.
struct Endpoint {
    EndpointName name;
    Address address;
    manifest::EndpointKind kind = manifest::EndpointKind::Engine;
    // Maximum number of concurrent calls.
    std::uint32_t capacity = 1;
    // True if the endpoint rejects requests with an outdated fencing token.
    bool honoursFencing = false;

    auto operator<=>(const Endpoint &) const = default;
};

} // namespace basilhall::agent
