// The liveness state of an entry host, as estimated by another entry host.
#pragma once

namespace basilhall::membership
{

// An estimate that may be wrong. It may decide when an operation is attempted, but correctness must
// not depend on it.
enum class HostState {
    // Answered its last probe, or has not been probed yet.
    Live,
    // Did not answer the last probes. Receives no new work, but keeps the work that it has.
    Suspect,
    // Did not answer several consecutive probes. Its shards may be taken over.
    Dead,
    // Is shutting down as planned. Receives no new work and hands over the work that it has.
    Leaving,
};

} // namespace basilhall::membership
