#include "basilhall/http/internal/connection_pool.h"

#include "basilhall/http/internal/socket_options.h"

#include <algorithm>

namespace basilhall::http
{

namespace
{

constexpr std::size_t kMaxIdlePerServer = 64;
// Shorter than the idle timeout of common servers, so that the server rarely closes first.
constexpr std::chrono::seconds kMaxIdleTime(20);

} // namespace

ConnectionPool::ConnectionPool(const boost::asio::any_io_executor &executor)
    : m_executor(executor)
{
}

std::shared_ptr<ClientConnection> ConnectionPool::acquire(const Address &server)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end()) {
        return nullptr;
    }
    const auto now = std::chrono::steady_clock::now();
    auto &idle = found->second;
    std::shared_ptr<ClientConnection> acquired;
    while (!acquired && !idle.empty()) {
        Idle last = std::move(idle.back());
        idle.pop_back();
        if (now < last.until && isIdle(last.connection->socket())) {
            acquired = std::move(last.connection);
        }
    }
    if (idle.empty()) {
        m_idle.erase(found);
    }
    return acquired;
}

void ConnectionPool::release(std::shared_ptr<ClientConnection> connection,
                             std::optional<Duration> serverKeepAlive)
{
    const Duration idleTime =
        std::min(serverKeepAlive.value_or(kMaxIdleTime), Duration(kMaxIdleTime));
    if (idleTime <= Duration::zero()) {
        return;
    }
    auto &idle = m_idle[connection->server()];
    if (idle.size() >= kMaxIdlePerServer) {
        idle.erase(idle.begin());
    }
    idle.push_back({std::move(connection), std::chrono::steady_clock::now() + idleTime});
}

} // namespace basilhall::http
