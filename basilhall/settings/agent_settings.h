// Settings of an agent process. docs/SETTINGS.md explains each key.
//
//     const ParsedSettings parsed = parse("agent.toml", text);
//     const auto *agent = std::get_if<AgentSettings>(&parsed.settings);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/logging/log_settings.h"
#include "basilhall/manifest/endpoint_kind.h"

#include <compare>
#include <cstdint>

namespace basilhall::settings
{

// Immutable value.
struct AgentSettings {
    HostName host;
    FailureDomain failureDomain;
    EndpointName endpoint;
    manifest::EndpointKind endpointKind = manifest::EndpointKind::Engine;
    Address endpointAddress;
    Address peerListen;
    Address operatorListen;
    std::uint32_t capacity = 0;
    bool honoursFencing = false;
    logging::LogSettings log;

    auto operator<=>(const AgentSettings &) const = default;
};

} // namespace basilhall::settings
