// Translates between the state of a gateway and the updates that gateways send each other.
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

void addSpend(wire::Update &update, const Incarnation &incarnation,
              const turns::SpendReport &report);

// Adds what has changed in the state since the last call, and forgets that it has.
void addNews(FleetState &state, wire::Update &update);

// Takes what a peer says; its configuration is left to the caller.
void applyNews(const wire::Update &update, Instant now, FleetState &state);

} // namespace basilhall::gateway
