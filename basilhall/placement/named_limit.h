// What an answer of an endpoint stated about the endpoint's request limit.
//
//     const NamedLimit limit{endpoint.startedAt, 5.5, now};
#pragma once

#include "basilhall/base/time.h"

#include <compare>
#include <optional>

namespace basilhall::placement
{

// Immutable value.
struct NamedLimit {
    // Start of the process that answered; 0 if unknown.
    WallMillis startedAt = 0;
    // Requests a second from all gateways together; nullopt if the answer states no limit.
    std::optional<double> perSecond;
    // Arrival of the answer.
    Instant statedAt;

    auto operator<=>(const NamedLimit &) const = default;
};

} // namespace basilhall::placement
