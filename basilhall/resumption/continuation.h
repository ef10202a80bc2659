// What a gateway knows when a caller asks for the rest of a stream.
#pragma once

#include "basilhall/resumption/stream_origin.h"

#include <compare>
#include <optional>
#include <set>
#include <string>

namespace basilhall::resumption
{

// Immutable value.
struct Continuation {
    // The caller named the attempt that brought the first event.
    bool isNamed = false;
    // Where that attempt began the stream; nullopt if no gateway knows.
    std::optional<StreamOrigin> origin;
    TeamName team;
    // The services that the route leads to, and the one that a new request would go to.
    std::set<std::string> services;
    std::string service;
    // The only version of `service` that was registered while the stream may have begun; nullopt if
    // there were several, or if that is not known.
    std::optional<std::string> onlyVersion;

    auto operator<=>(const Continuation &) const = default;
};

} // namespace basilhall::resumption
