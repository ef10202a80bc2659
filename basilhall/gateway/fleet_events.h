// Handlers for changes of objects in the platform's object API, with decoded objects.
//
//     FleetEvents events = gateway.events();
//     events.endpointChanged(endpoint);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/fleet/endpoint.h"
#include "basilhall/fleet/evacuations.h"
#include "basilhall/gateway/document.h"
#include "basilhall/gateway/member.h"

#include <functional>
#include <vector>

namespace basilhall::gateway
{

// Called on the executor of the gateway.
struct FleetEvents {
    // The configuration, in the encoding of the platform.
    std::function<void(const Document &)> policy;
    // A complete list; `afterOutage` if the object API was unreachable before it.
    std::function<void(const std::vector<fleet::Endpoint> &, bool afterOutage)> endpointsListed;
    std::function<void(const fleet::Endpoint &)> endpointChanged;
    std::function<void(const EndpointName &)> endpointRemoved;
    std::function<void(const std::vector<Member> &)> membersListed;
    std::function<void(const Member &)> memberChanged;
    std::function<void(const HostName &)> memberRemoved;
    // The evacuated failure domains, from a complete list or as changed by a watch; `revision` is 0
    // if it is unknown.
    std::function<void(const fleet::Evacuations &)> evacuations;
    // The calls above have applied all changes of the kind up to the revision of the object API;
    // 0 if the revision is unknown.
    std::function<void(DocumentKind, std::uint64_t revision)> upToDate;
    // A watch of the kind has begun to deliver changes, or failed.
    std::function<void(DocumentKind, bool isAvailable)> watchChanged;
};

} // namespace basilhall::gateway
