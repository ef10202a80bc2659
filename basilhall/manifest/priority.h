// The priority classes of work.
#pragma once

#include <optional>
#include <string_view>

namespace basilhall::manifest
{

// Listed from highest to lowest precedence.
enum class Priority {
    // Alerts, scheduled before all other work.
    Urgent,
    Normal,
    // Work that can be delayed.
    Batch,
};

// Returns the name used in manifests: "urgent", "normal" or "batch".
std::string_view toString(Priority priority);

// Returns the priority named `name`, or nothing if there is none.
std::optional<Priority> priorityFromName(std::string_view name);

} // namespace basilhall::manifest
