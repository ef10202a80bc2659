// A table of a TOML document, read key by key.
//
//     const std::optional<std::uint64_t> count = table.unsignedInteger("count", 1, 4096);
//     table.require("count");
//     table.reportUnknownKeys();
#pragma once

#include "basilhall/base/address.h"
#include "basilhall/base/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilhall::config
{

namespace internal
{
class TablePrivate;
}

// Not thread-safe. Must not outlive its Document. Each reading function returns nullopt if the key
// is absent. If the value has the wrong type or is out of range, it also adds a fault.
class Table
{
public:
    explicit Table(std::unique_ptr<internal::TablePrivate> data);
    ~Table();
    Table(Table &&other) noexcept;
    Table &operator=(Table &&other) noexcept;

    // Last part of the path of the table; empty for the root.
    const std::string &name() const;
    bool has(std::string_view key) const;

    std::optional<std::string> string(std::string_view key);
    // Both bounds are inclusive.
    std::optional<std::uint64_t> unsignedInteger(std::string_view key, std::uint64_t minimum,
                                                 std::uint64_t maximum);
    // Accepts integers too. Both bounds are inclusive.
    std::optional<double> number(std::string_view key, double minimum, double maximum);
    std::optional<bool> boolean(std::string_view key);
    // A string with a unit, see parseDuration. Both bounds are inclusive.
    std::optional<Duration> duration(std::string_view key, Duration minimum, Duration maximum);
    // A string with IP address and port.
    std::optional<Address> address(std::string_view key);
    std::optional<std::vector<std::string>> strings(std::string_view key);
    // Returns the tables below `key` in name order.
    std::vector<Table> tables(std::string_view key);
    // Returns the table `key`, if any.
    std::optional<Table> table(std::string_view key);

    // Adds a fault at the value of `key`, or at the table if it has no such key; an empty key
    // refers to the table itself.
    void addFault(std::string_view key, std::string_view message);
    // Adds a fault at item `index` of the array `key`.
    void addFaultAt(std::string_view key, std::size_t index, std::string_view message);
    // Adds a fault if `key` is absent.
    void require(std::string_view key);
    // Number of faults found in the whole document so far.
    std::size_t faultCount() const;
    // Marks `key` as known without reading it.
    void ignore(std::string_view key);
    // Adds a fault for each key that has been neither read nor ignored.
    void reportUnknownKeys();

private:
    std::unique_ptr<internal::TablePrivate> d;
};

} // namespace basilhall::config
