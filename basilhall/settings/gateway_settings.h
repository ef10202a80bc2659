// Settings of a gateway process. docs/SETTINGS.md explains each key.
//
//     const ParsedSettings parsed = parse("gateway.toml", text);
//     const auto *gateway = std::get_if<GatewaySettings>(&parsed.settings);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/logging/log_settings.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace basilhall::settings
{

// Immutable value.
struct GatewaySettings {
    HostName host;
    FailureDomain failureDomain;
    // Address for connections of callers.
    Address listen;
    Address readyListen;
    Address peerListen;
    Address operatorListen;
    Address objectApi;
    Duration shutdownGrace{};
    // Processor share in thousandths of a core.
    std::uint32_t processorMillis = 0;
    // Time within which evacuations of failure domains take effect; without it, the gateway does
    // not watch for evacuations.
    std::optional<Duration> evacuationBound;
    // Region of each failure domain; empty if the deployment has no regions.
    std::map<FailureDomain, std::string> regions;
    // What is tolerated of the rate of a cold endpoint: a factor, and requests per second beyond.
    double coldOvershoot = 1;
    double coldTolerance = 0;
    // Endpoints that may become cold without notice are limited while they are warm, too.
    bool limitsWarmEndpoints = false;
    // Gateways ask each other for unused shares of the request limits of endpoints.
    bool lendsShares = false;
    // Bytes of kept turns that are held in memory; the others are read from the store when a turn
    // continues them.
    std::size_t keptTurnMemory = 24UL * 1024 * 1024;
    logging::LogSettings log;

    auto operator<=>(const GatewaySettings &) const = default;
};

} // namespace basilhall::settings
