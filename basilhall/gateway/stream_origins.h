// Remembers where streams began, here and at peers, and decides at which version the rest of a
// stream may be requested.
//
//     StreamOrigins origins(state, {tell, find});
//     origins.add(origin);
//     const auto found = co_await origins.find(attempt);
#pragma once

#include "basilhall/gateway/fleet_state.h"
#include "basilhall/resumption/stream_origin.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>

namespace basilhall::gateway
{

// Access to the other gateways; see PeerMesh.
struct OriginPeers {
    std::function<void(const resumption::StreamOrigin &)> tell;
    std::function<boost::asio::awaitable<std::optional<resumption::StreamOrigin>>(CallId)> find;
};

// Not thread-safe. `state` must outlive it.
class StreamOrigins
{
public:
    StreamOrigins(FleetState &state, OriginPeers peers);

    // Adds a stream, or extends the time for which it is kept, here and at the peers.
    void add(const resumption::StreamOrigin &origin);
    // Looks a stream up here, then at the peers.
    boost::asio::awaitable<std::optional<resumption::StreamOrigin>> find(CallId attempt);

private:
    FleetState &m_state;
    OriginPeers m_peers;
};

} // namespace basilhall::gateway
