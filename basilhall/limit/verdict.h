// The decisions of the host side of the limit about calls that request admission.
#pragma once

#include "basilhall/base/error.h"
#include "basilhall/base/time.h"
#include "basilhall/limit/grant_request.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace basilhall::limit
{

// Identifies a call that waits for admission. Chosen by the caller, unique while the call waits.
using Ticket = std::uint64_t;

// Allows one call to be sent before `expires`. After that, the call must be admitted again.
struct Permit {
    std::uint32_t slice = 0;
    // Number of the request whose grant the permit belongs to.
    std::uint64_t number = 0;
    Instant expires;

    auto operator<=>(const Permit &) const = default;
};

struct Verdict {
    Ticket ticket = 0;
    // Unused if the call is refused.
    Permit permit;
    // Set if the call is refused.
    std::optional<Error> refused;

    bool operator==(const Verdict &) const = default;
};

// What the driver has to do: send the grant requests to limiters, and apply the verdicts to the
// calls.
struct GrantActions {
    std::vector<GrantRequest> grantRequests;
    std::vector<Verdict> verdicts;
};

} // namespace basilhall::limit
