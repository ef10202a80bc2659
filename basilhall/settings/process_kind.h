// The kinds of process that have settings.
#pragma once

#include <string_view>

namespace basilhall::settings
{

enum class ProcessKind {
    Entry,
    Agent,
    // Forwards requests of callers to endpoints on the users' platform.
    Gateway,
    // Answers for a host with a disk.
    Steward,
};

// Returns the value of the key `process`, such as "entry".
std::string_view toString(ProcessKind kind);

} // namespace basilhall::settings
