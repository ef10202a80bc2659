// Settings of a deployment that the view of the fleet depends on.
//
//     FleetState state(self, fleetTraits(settings));
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/turns/turn_table.h"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace basilhall::settings
{
struct GatewaySettings;
}

namespace basilhall::gateway
{

// Immutable value.
struct FleetTraits {
    // Failure domain of this gateway.
    FailureDomain ownDomain;
    // Time within which evacuations take effect; without it, no failure domain is ever evacuated.
    std::optional<Duration> evacuationBound{};
    // Region of each failure domain; empty if the deployment has no regions.
    std::map<FailureDomain, std::string> regions{};
    // What is tolerated of the rate of a cold endpoint: a factor, and requests per second beyond.
    double coldOvershoot = 1;
    double coldTolerance = 0;
    // Endpoints that may become cold without notice are limited while they are warm, too.
    bool limitsWarmEndpoints = false;
    // Bytes of kept turns that are held in memory.
    std::size_t keptTurnMemory = turns::kDefaultContentBytes;

    auto operator<=>(const FleetTraits &) const = default;
};

FleetTraits fleetTraits(const settings::GatewaySettings &settings);

} // namespace basilhall::gateway
