// A route to a plain service or a tool service.
#pragma once

#include "basilhall/base/time.h"
#include "basilhall/manifest/priority.h"

#include <compare>
#include <string>

namespace basilhall::manifest
{

// Immutable value.
struct Route {
    std::string name;
    // True if a call may be retried after an unknown outcome.
    bool idempotent = false;
    // True if a call needs no key.
    bool openToAll = false;
    // True if the service recognises a repeated call by its Idempotency-Key.
    bool acceptsIdempotencyKeys = false;
    Duration timeout = std::chrono::seconds(30);
    Priority priority = Priority::Normal;

    auto operator<=>(const Route &) const = default;
};

} // namespace basilhall::manifest
