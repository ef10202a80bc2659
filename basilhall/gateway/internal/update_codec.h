// Converts between the state of a gateway and the updates that gateways send each other.
//
//     addChanges(state, now, update);
//     applyUpdate(received, now, state);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/turns/budget_ledger.h"

namespace basilhall::gateway
{

namespace wire
{
class Update;
}

// Adds the spending of an incarnation to the update.
void addSpend(wire::Update &update, const Incarnation &incarnation,
              const turns::SpendReport &report);

// Adds what an endpoint stated about its request limit.
void addLimit(wire::Update &update, const EndpointName &endpoint,
              const placement::NamedLimit &stated, Instant now);

// Moves the pending changes of the state into the update.
void addChanges(FleetState &state, Instant now, wire::Update &update);

// Applies the update of a peer to the state, except for the configuration, which the caller
// handles.
void applyUpdate(const wire::Update &update, Instant now, FleetState &state);

} // namespace basilhall::gateway
