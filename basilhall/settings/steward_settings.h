// Settings of a steward process. docs/SETTINGS.md explains each key.
//
//     const ParsedSettings parsed = parse("steward.toml", text);
//     const auto *steward = std::get_if<StewardSettings>(&parsed.settings);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/logging/log_settings.h"

#include <compare>

namespace basilhall::settings
{

// Immutable value.
struct StewardSettings {
    HostName host;
    FailureDomain failureDomain;
    Address operatorListen;
    Address objectApi;
    logging::LogSettings log;

    auto operator<=>(const StewardSettings &) const = default;
};

} // namespace basilhall::settings
