// Requirements of a call that decide which endpoint can run it.
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/wire/wire.pb.h"

#include <cstdint>
#include <string>
#include <vector>

namespace basilhall::owner
{

// Immutable value.
struct CallNeeds {
    ProgramId program;
    // Name of the model or of the service route.
    std::string serves;
    wire::CallKind kind;
    wire::PriorityClass priority;
    std::uint64_t promptTokens = 0;
    // Endpoints that failed an earlier attempt of the call.
    std::vector<EndpointName> excluded;
};

} // namespace basilhall::owner
