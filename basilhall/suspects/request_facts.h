// Facts about requests and endpoint processes that gateways tell each other.
//
//     for (const RequestFacts &facts : evidence.takeChanges()) {
//         send(facts);
//     }
#pragma once

#include "basilhall/suspects/endpoint_process.h"
#include "basilhall/suspects/request_key.h"

#include <optional>
#include <vector>

namespace basilhall::suspects
{

// A run that broke. Immutable value.
struct EndedRun {
    EndpointProcess process;
    Instant at;
    // The process is known to have ended.
    bool isConfirmed = false;

    auto operator<=>(const EndedRun &) const = default;
};

// Immutable value. The times are on the time line of the process that holds it.
struct RequestFacts {
    RequestKey key;
    std::vector<EndedRun> ends;
    // The last complete run and the last start of a run of a likely cause, if any.
    std::optional<Instant> completedAt;
    std::optional<Instant> runAt;
    // It was held because of its ends.
    bool isCause = false;

    auto operator<=>(const RequestFacts &) const = default;
};

// The process answered a request that was sent at `sentAt`. Immutable value.
struct ProcessAnswer {
    EndpointProcess process;
    Instant sentAt;

    auto operator<=>(const ProcessAnswer &) const = default;
};

} // namespace basilhall::suspects
