// Handlers for changes of objects in the platform's object API, with decoded objects.
//
//     FleetEvents events = gateway.events();
//     events.endpointChanged(endpoint);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/fleet/endpoint.h"
#include "basilhall/gateway/member.h"
#include "basilhall/gateway/peer_mesh.h"

#include <functional>
#include <vector>

namespace basilhall::gateway
{

// Called on the executor of the gateway.
struct FleetEvents {
    std::function<void(const PolicyDocument &)> policy;
    // A complete list; `afterOutage` if the object API was unreachable before it.
    std::function<void(const std::vector<fleet::Endpoint> &, bool afterOutage)> endpointsListed;
    std::function<void(const fleet::Endpoint &)> endpointChanged;
    std::function<void(const EndpointName &)> endpointRemoved;
    std::function<void(const std::vector<Member> &)> membersListed;
    std::function<void(const Member &)> memberChanged;
    std::function<void(const HostName &)> memberRemoved;
};

} // namespace basilhall::gateway
