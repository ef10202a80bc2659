// Which processes of endpoints are known to run behind the connections to them.
//
// A process may end and another one, perhaps of another version, may start under the same name and
// address before its registration arrives. A connection does not survive that: if a process stated
// its start after a connection was established, that connection leads to this process as long as
// it is open.
//
//     ProcessProofs proofs;
//     proofs.add(endpoint, startedAt, askedAt);
//     const bool isProven = proofs.contains(endpoint, startedAt, connectedAt);
#pragma once

#include "basilhall/base/identifier.h"
#include "basilhall/base/time.h"

#include <unordered_map>

namespace basilhall::resumption
{

// Not thread-safe.
class ProcessProofs
{
public:
    // The process that was asked at `askedAt` stated that it started at `startedAt`.
    void add(const EndpointName &endpoint, WallMillis startedAt, Instant askedAt);
    // True if a connection that was established at `connectedAt` and is still open leads to the
    // process that started at `startedAt`.
    bool contains(const EndpointName &endpoint, WallMillis startedAt, Instant connectedAt) const;
    // Drops what was proven before `limit`.
    void expire(Instant limit);
    std::size_t size() const { return m_proofs.size(); }

private:
    struct Proof {
        WallMillis startedAt = 0;
        Instant askedAt;
    };

    std::unordered_map<EndpointName, Proof> m_proofs;
};

} // namespace basilhall::resumption
