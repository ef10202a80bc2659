// Reads single keys as described by the table of settings. Private to this folder.
//
//     SettingsReader reader(root, ProcessKind::Entry);
//     const Duration interval = reader.duration("flush_interval");
#pragma once

#include "basilhall/config/table.h"
#include "basilhall/settings/key_spec.h"

#include <optional>
#include <string>
#include <string_view>

namespace basilhall::settings::internal
{

// Not thread-safe. `root` must outlive it. Each reading function looks up its key in the table of
// settings, adds a fault if the key is required and absent, and returns the default of the table if
// an optional key is absent.
class SettingsReader
{
public:
    SettingsReader(config::Table &root, ProcessKind kind);

    std::string name(std::string_view key);
    std::optional<std::string> path(std::string_view key);
    Address address(std::string_view key);
    std::optional<Address> optionalAddress(std::string_view key);
    std::uint32_t count(std::string_view key);
    bool flag(std::string_view key);
    // Adds a fault if the number is outside the inclusive bounds.
    double number(std::string_view key, double minimum, double maximum);
    Duration duration(std::string_view key);
    // nullopt if the key is absent, for a key without a default.
    std::optional<Duration> optionalDuration(std::string_view key);
    std::string text(std::string_view key);
    // Returns the text; adds a fault if it is not one of the choices in the table.
    std::string choice(std::string_view key);

    // Adds a fault for each key of the file that this kind of process does not accept.
    void reportUnknownKeys();

private:
    // The table that contains a key, and the last part of the path of the key.
    struct Location {
        config::Table *table;
        std::string_view key;
    };

    Location find(const KeySpec &spec);
    // Returns the location of a key and adds a fault if the key is required and absent.
    Location require(const KeySpec &spec);

    config::Table &m_root;
    ProcessKind m_kind;
    std::optional<config::Table> m_log;
};

} // namespace basilhall::settings::internal
