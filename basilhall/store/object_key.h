// The name of one object in the platform's object API.
#pragma once

#include <compare>
#include <string>

namespace basilhall::store
{

// `kind` is the plural of one of the kinds that the system defines, such as "journals"; `name` is
// unique within it and holds only lower-case letters, digits, '-' and '.'. Immutable value.
struct ObjectKey {
    std::string kind;
    std::string name;

    auto operator<=>(const ObjectKey &) const = default;
};

} // namespace basilhall::store
