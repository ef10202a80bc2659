#include "basilhall/agent/run_agent.h"

#include "basilhall/agent/agent.h"
#include "basilhall/base/random_name.h"
#include "basilhall/logging/log_system.h"
#include "basilhall/settings/agent_settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <iostream>
#include <thread>

namespace basilhall::agent
{

namespace
{

namespace asio = boost::asio;

// Drains the agent on the first signal. Waits for signals on a separate thread.
class SignalHandler
{
public:
    explicit SignalHandler(Agent &agent)
        : m_signals(m_context, SIGTERM, SIGINT)
    {
        m_signals.async_wait([&agent](boost::system::error_code error, int) {
            if (!error) {
                agent.drain();
            }
        });
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~SignalHandler()
    {
        m_context.stop();
        m_thread.join();
    }

    SignalHandler(const SignalHandler &) = delete;
    SignalHandler &operator=(const SignalHandler &) = delete;

private:
    asio::io_context m_context;
    asio::signal_set m_signals;
    std::thread m_thread;
};

Endpoint endpointOf(const settings::AgentSettings &settings)
{
    return {settings.endpoint, settings.endpointAddress, settings.endpointKind, settings.capacity,
            settings.honoursFencing};
}

} // namespace

int runAgent(const settings::AgentSettings &settings)
{
    logging::LogSystem logs(settings.log);
    std::mt19937_64 random = makeRandomSource();
    const Incarnation self(randomHexName(random));
    try {
        Agent agent(endpointOf(settings), {settings.peerListen, settings.operatorListen}, self,
                    logs);
        const SignalHandler signals(agent);
        agent.run();
    } catch (const boost::system::system_error &error) {
        std::cerr << "basilhall agent: cannot listen: " << error.what() << '\n';
        return 1;
    }
    return 0;
}

} // namespace basilhall::agent
