// Reads single keys as the table describes them. Included by the sources of this folder alone.
#pragma once

#include "basilhall/config/table.h"
#include "basilhall/settings/key_spec.h"

#include <optional>
#include <string>
#include <string_view>

namespace basilhall::settings::internal
{

// Not thread-safe. `root` must outlive it. Each reader looks its key up in the table of settings,
// adds a fault if a required key is absent, and otherwise returns the fallback of the table.
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
    // Within both bounds.
    double number(std::string_view key, double least, double most);
    Duration duration(std::string_view key);
    // Returns the text; adds a fault if it is not among the choices of the table.
    std::string choice(std::string_view key);

    // Adds a fault for each key of the file that this kind of process does not know.
    void reportUnknownKeys();

private:
    // The table that holds a key, and the last part of its path.
    struct Place {
        config::Table *table;
        std::string_view key;
    };

    Place find(const KeySpec &spec);
    // Returns the place of `key` and adds a fault if it is required and absent.
    Place require(const KeySpec &spec);

    config::Table &m_root;
    ProcessKind m_kind;
    std::optional<config::Table> m_log;
};

} // namespace basilhall::settings::internal
