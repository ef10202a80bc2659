// Settings of a steward process. docs/SETTINGS.md explains each key.
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
