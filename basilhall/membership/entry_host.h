// An entry host as seen by another entry host.
//
//     for (const EntryHost &host : hostView.hosts()) {
//         if (host.state == HostState::Live) { ... }
//     }
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/membership/host_state.h"

#include <compare>

namespace basilhall::membership
{

// Immutable value.
struct EntryHost {
    HostName host;
    // Incarnation in the last answer to a probe; empty if the host has not answered yet.
    Incarnation incarnation;
    // Address for requests from peers.
    Address address;
    HostState state = HostState::Live;

    auto operator<=>(const EntryHost &) const = default;
};

} // namespace basilhall::membership
