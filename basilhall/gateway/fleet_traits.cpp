#include "basilhall/gateway/fleet_traits.h"

#include "basilhall/settings/gateway_settings.h"

namespace basilhall::gateway
{

FleetTraits fleetTraits(const settings::GatewaySettings &settings)
{
    return {settings.failureDomain, settings.evacuationBound, settings.regions,
            settings.coldOvershoot, settings.coldTolerance,   settings.limitsWarmEndpoints,
            settings.keptTurnMemory};
}

} // namespace basilhall::gateway
