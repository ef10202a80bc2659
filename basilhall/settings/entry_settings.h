// Settings of an entry process. docs/SETTINGS.md explains each key.
//
//     const ParsedSettings parsed = parse("entry.toml", text);
//     const auto *entry = std::get_if<EntrySettings>(&parsed.settings);
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"
#include "basilhall/logging/log_settings.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace basilhall::settings
{

// Immutable value.
struct EntrySettings {
    HostName host;
    FailureDomain failureDomain;
    // Address for connections of callers.
    Address listen;
    Address peerListen;
    Address operatorListen;
    Address objectApi;
    std::string objectNamespace;
    std::optional<Address> hostList;
    std::optional<std::string> dataFolder;
    std::uint32_t trafficThreads = 0;
    Duration flushInterval{};
    logging::LogSettings log;

    auto operator<=>(const EntrySettings &) const = default;
};

} // namespace basilhall::settings
