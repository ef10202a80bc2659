// Settings of a gateway process. docs/SETTINGS.md explains each key.
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/logging/log_settings.h"

#include <compare>
#include <cstdint>

namespace basilhall::settings
{

// Immutable value.
struct GatewaySettings {
    HostName host;
    FailureDomain failureDomain;
    // For callers.
    Address listen;
    Address readyListen;
    Address peerListen;
    Address operatorListen;
    Address objectApi;
    Duration shutdownGrace{};
    // Thousandths of a core.
    std::uint32_t processorMillis = 0;
    logging::LogSettings log;

    auto operator<=>(const GatewaySettings &) const = default;
};

} // namespace basilhall::settings
