// Reads the settings of a process from TOML and reports every fault with its position.
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
    // Ordered by position. A syntax error hides all other faults.
    config::Faults faults;
};

// Environment variable with further keys of the root table, which precede those of the file. It
// lets a deployment that fills in plain templates state keys that not all hosts have.
inline constexpr const char *kSettingsVariable = "BASILHALL_SETTINGS";

// `file` is the file name in the faults. The key `process` selects the kind. `environment` is the
// value of kSettingsVariable; faults in it name the variable. Thread-safe.
ParsedSettings parse(std::string file, std::string_view text, std::string_view environment = {});

// Returns true if `text` is a settings file and not a manifest: it has the key `process`.
bool isSettings(std::string_view text);

} // namespace basilhall::settings
