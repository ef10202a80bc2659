// Timing of the detection of dead connections between processes.
//
//     StreamClient client(executor, {.pingInterval = 1s, .silenceLimit = 3s});
#pragma once

#include "basilhall/base/time.h"

namespace basilhall::transport
{

// Immutable value.
struct KeepAlive {
    // Time between two PINGs of the client. The PING and its reply show each side that the other
    // one is alive.
    Duration pingInterval = std::chrono::seconds(2);
    // Either side closes the connection after receiving no data for this time.
    Duration silenceLimit = std::chrono::seconds(6);

    auto operator<=>(const KeepAlive &) const = default;
};

} // namespace basilhall::transport
