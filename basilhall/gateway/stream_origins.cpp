#include "basilhall/gateway/stream_origins.h"

namespace basilhall::gateway
{

namespace asio = boost::asio;

StreamOrigins::StreamOrigins(FleetState &state, OriginPeers peers)
    : m_state(state)
    , m_peers(std::move(peers))
{
}

void StreamOrigins::add(const resumption::StreamOrigin &origin)
{
    m_state.origins().add(origin);
    m_peers.tell(origin);
}

asio::awaitable<std::optional<resumption::StreamOrigin>> StreamOrigins::find(CallId attempt)
{
    if (const resumption::StreamOrigin *known = m_state.origins().find(attempt)) {
        co_return *known;
    }
    const auto peers = m_peers.find;
    auto found = co_await peers(attempt);
    if (found) {
        // The next attempt for the same stream finds it here.
        m_state.origins().add(*found);
    }
    co_return found;
}

} // namespace basilhall::gateway
