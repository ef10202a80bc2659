// A change reported by a watch of the object API.
#pragma once

#include "basilhall/store/object.h"

namespace basilhall::store
{

// Immutable value. For a removed object, `object` is the last state before the removal.
struct WatchEvent {
    enum class Type { Added, Modified, Removed };

    Type type = Type::Added;
    Object object;

    auto operator<=>(const WatchEvent &) const = default;
};

} // namespace basilhall::store
