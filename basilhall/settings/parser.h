// Reads the settings of a process from TOML and reports every fault with its place.
//
//     const ParsedSettings parsed = parse("entry.toml", text);
//     if (const auto *entry = std::get_if<EntrySettings>(&parsed.settings)) { ... }
#pragma once

#include "basilhall/config/fault.h"
#include "basilhall/settings/agent_settings.h"
#include "basilhall/settings/entry_settings.h"
#include "basilhall/settings/gateway_settings.h"
#include "basilhall/settings/steward_settings.h"

#include <string>
#include <string_view>
#include <variant>

namespace basilhall::settings
{

struct ParsedSettings {
    // Empty if there is a fault.
    std::variant<std::monostate, EntrySettings, AgentSettings, GatewaySettings, StewardSettings>
        settings;
    // Ordered by place. A fault of syntax hides the rest.
    config::Faults faults;
};

// `file` is the name that the faults carry. The key `process` tells the kind. Thread-safe.
ParsedSettings parse(std::string file, std::string_view text);

// True if `text` looks like settings rather than a manifest: it has the key `process`.
bool isSettings(std::string_view text);

} // namespace basilhall::settings
