// Polls the health of the endpoint and, for an engine, the changes of its cache.
//
//     const auto monitor = std::make_shared<EndpointMonitor>(client, endpoint, onHealth, onCache);
//     asio::co_spawn(executor, monitor->run(), asio::detached);
#pragma once

#include "basilhall/agent/endpoint.h"
#include "basilhall/http/client.h"

#include <functional>
#include <memory>

namespace basilhall::agent
{

// Receives a program and the number of its tokens that the engine has cached, 0 for none.
using CacheHandler = std::function<void(const ProgramId &, std::uint64_t)>;

// Not thread-safe.
class EndpointMonitor : public std::enable_shared_from_this<EndpointMonitor>
{
public:
    // `client` must outlive run().
    EndpointMonitor(http::Client &client, const Endpoint &endpoint,
                    std::function<void(bool)> onHealth, CacheHandler onCache);

    // Polls once a second until stop().
    boost::asio::awaitable<void> run();
    void stop();

private:
    boost::asio::awaitable<bool> pollEngine();
    boost::asio::awaitable<bool> probeService();
    void processEvents(const std::string &body);

    http::Client &m_client;
    const Endpoint m_endpoint;
    const std::function<void(bool)> m_onHealth;
    const CacheHandler m_onCache;
    std::uint64_t m_lastEvent = 0;
    unsigned m_failures = 0;
    bool m_stopped = false;
    std::function<void()> m_cancelTimer;
};

} // namespace basilhall::agent
