// Converts between what is known of crashed endpoints and the updates that gateways send each
// other.
//
//     addCrashChanges(state.crashes(), now, update);
//     applyCrashes(received, now, state.crashes());
#pragma once

#include "basilhall/base/time.h"

#include <vector>

namespace basilhall::suspects
{
class CrashEvidence;
class RequestFamilies;
struct RequestFacts;
} // namespace basilhall::suspects

namespace basilhall::gateway
{

namespace wire
{
class Update;
}

// Moves the pending changes into the update.
void addCrashChanges(suspects::CrashEvidence &crashes, Instant now, wire::Update &update);
// Adds what a gateway needs that has no facts yet.
void addCrashSummary(const suspects::CrashEvidence &crashes, Instant now, wire::Update &update);
void applyCrashes(const wire::Update &update, Instant now, suspects::CrashEvidence &crashes);
// The same for the single bodies of the requests of families.
void addBodies(const std::vector<suspects::RequestFacts> &bodies,
               const suspects::RequestFamilies &families, Instant now, wire::Update &update);
void applyBodies(const wire::Update &update, Instant now, suspects::CrashEvidence &bodies,
                 suspects::RequestFamilies &families);

} // namespace basilhall::gateway
