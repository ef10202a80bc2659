// The data of a Table. Private to this folder.
#pragma once

#include "basilhall/config/fault.h"
#include "basilhall/config/internal/toml.h"

#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace basilhall::config::internal
{

class TablePrivate
{
public:
    TablePrivate(std::string name, std::string path, const toml::table &table, std::string file,
                 Faults &faults)
        : m_name(std::move(name))
        , m_path(std::move(path))
        , m_table(table)
        , m_file(std::move(file))
        , m_faults(faults)
    {
    }

    const std::string &name() const { return m_name; }
    const std::string &file() const { return m_file; }
    const toml::table &table() const { return m_table; }
    Faults &faults() const { return m_faults; }
    const std::set<std::string, std::less<>> &keysRead() const { return m_keysRead; }

    // Returns the value of `key` or nullptr, and marks the key as known.
    const toml::node *read(std::string_view key)
    {
        m_keysRead.emplace(key);
        return m_table.get(key);
    }

    std::string pathOf(std::string_view key) const
    {
        if (key.empty() || m_path.empty()) {
            return m_path + std::string(key);
        }
        return m_path + "." + std::string(key);
    }

    void addFault(const toml::source_region &position, std::string field, std::string message)
    {
        m_faults.push_back(Fault{m_file, position.begin.line, position.begin.column,
                                 std::move(field), std::move(message)});
    }

private:
    std::string m_name;
    std::string m_path;
    const toml::table &m_table;
    std::string m_file;
    Faults &m_faults;
    std::set<std::string, std::less<>> m_keysRead;
};

} // namespace basilhall::config::internal
