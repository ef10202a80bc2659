// One row of the table of settings.
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/settings/process_kind.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace basilhall::settings
{

enum class KeyType {
    Name,
    Path,
    // IP number and port.
    Address,
    Count,
    Flag,
    // A decimal number.
    Number,
    // A string with a unit.
    Duration,
    Choice,
};

// Which processes know a key; the values are sets of bits, one for each kind of process.
enum class KeyScope : unsigned {
    Entry = 1U << 0U,
    Agent = 1U << 1U,
    Gateway = 1U << 2U,
    Steward = 1U << 3U,
    // Processes that callers connect to.
    Fronts = Entry | Gateway,
    // Processes with peers.
    Peers = Entry | Agent | Gateway,
    // Processes that use the object API.
    StoreUsers = Entry | Gateway | Steward,
    All = Entry | Agent | Gateway | Steward,
};

struct KeySpec {
    // Dotted path in the file.
    std::string_view key;
    KeyScope scope;
    KeyType type;
    std::string_view unit;
    // Range in words, as the page shows it.
    std::string_view range;
    // As it would be written in the file. Empty if there is none; the key may then be left out only
    // if it is not required.
    std::string_view fallback;
    bool isRequired;
    std::string_view meaning;
    // Bounds of Count (the number) and Duration (nanoseconds).
    std::int64_t least = 0;
    std::int64_t most = 0;
};

// Returns the whole table in the order of the page.
std::span<const KeySpec> keyTable();

// Returns the row of `key`; nullptr if there is none.
const KeySpec *findKey(std::string_view key);

// Returns the scope of the one process.
KeyScope scopeOf(ProcessKind kind);

// True if a process of `kind` knows the key.
bool knows(ProcessKind kind, const KeySpec &spec);

} // namespace basilhall::settings
