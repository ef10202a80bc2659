// An object as returned by the object API.
#pragma once

#include "basilhall/store/object_key.h"

#include <compare>
#include <string>

namespace basilhall::store
{

// Opaque version of an object. Versions can only be compared for equality.
using ResourceVersion = std::string;

// Immutable value. `data` is at most kMaxObjectBytes long and may hold any bytes; the adapter
// encodes it for the API.
struct Object {
    ObjectKey key;
    ResourceVersion version;
    std::string data;

    auto operator<=>(const Object &) const = default;
};

// Largest `data` of one object, in bytes; the API accepts 1 MiB including encoding
// and metadata.
inline constexpr std::size_t kMaxObjectBytes = 700 * 1024;

} // namespace basilhall::store
