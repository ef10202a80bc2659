// A row of the table of settings.
//
//     const KeySpec *spec = findKey("flush_interval");
//     const bool accepted = acceptsKey(ProcessKind::Entry, *spec);
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
    // Any string.
    Text,
    Path,
    // IP address and port.
    Address,
    Count,
    Flag,
    // A decimal number.
    Number,
    // A string with a unit.
    Duration,
    Choice,
};

// The kinds of process that accept a key, as a bit set with one bit for each kind.
enum class KeyScope : unsigned {
    Entry = 1U << 0U,
    Agent = 1U << 1U,
    Gateway = 1U << 2U,
    Steward = 1U << 3U,
    // Processes that callers connect to.
    CallerFacing = Entry | Gateway,
    // Processes that other processes of basilhall connect to.
    PeerConnected = Entry | Agent | Gateway,
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
    // Range in words, as shown on the reference page.
    std::string_view range;
    // Default value as written in the file. Empty if there is none; a key without a default may be
    // omitted only if it is not required.
    std::string_view defaultText;
    bool isRequired;
    std::string_view meaning;
    // Inclusive bounds of a Count (the number) or a Duration (in nanoseconds).
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

// Returns the whole table in the order of the reference page.
std::span<const KeySpec> keyTable();

// Returns the row of `key`; nullptr if there is none.
const KeySpec *findKey(std::string_view key);

// Returns the scope that contains only `kind`.
KeyScope scopeOf(ProcessKind kind);

// Returns true if a process of `kind` accepts the key.
bool acceptsKey(ProcessKind kind, const KeySpec &spec);

} // namespace basilhall::settings
