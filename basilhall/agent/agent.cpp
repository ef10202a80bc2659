#include "basilhall/agent/agent.h"

#include "basilhall/agent/control.h"
#include "basilhall/agent/traffic.h"
#include "basilhall/logging/log_system.h"
#include "basilhall/metrics/health.h"
#include "basilhall/metrics/registry.h"
#include "basilhall/operator/operator_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <thread>

namespace basilhall::agent
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kDrainPollInterval = std::chrono::milliseconds(20);
// Time for an owner whose connection broke to query the outcome of its call.
constexpr Duration kResolveGracePeriod = std::chrono::milliseconds(500);

} // namespace

class Agent::Private
{
public:
    Private(const Endpoint &endpoint, const AgentAddresses &addresses, Incarnation self,
            logging::LogSystem &logs)
        : m_log(logs.log("agent"))
        , m_health({"endpoint"})
        , m_control(m_controlContext.get_executor(), endpoint, std::move(self), m_log, m_metrics,
                    m_health, outputs())
        , m_traffic(m_trafficContext.get_executor(), endpoint, addresses.peers, m_control,
                    m_controlContext.get_executor(), m_log)
        , m_operatorServer(m_controlContext.get_executor(), addresses.operators, m_metrics,
                           m_health, logs, reports())
        , m_drainTimer(m_controlContext)
    {
    }

    // Returns callbacks that post the requests of Control to the traffic thread.
    ControlOutputs outputs()
    {
        ControlOutputs outputs;
        outputs.carryOut = [this](dispatch::Actions actions) {
            asio::post(m_trafficContext,
                       [this, actions = std::move(actions)] { m_traffic.carryOut(actions); });
        };
        outputs.publish = [this](wire::LoadReport report) {
            asio::post(m_trafficContext,
                       [this, report = std::move(report)] { m_traffic.publish(report); });
        };
        outputs.freeSession = [this](Session session) {
            asio::post(m_trafficContext,
                       [this, session = std::move(session)] { m_traffic.freeSession(session); });
        };
        return outputs;
    }

    operators::Reports reports()
    {
        operators::Reports reports;
        reports.status = [this] { return m_control.status(); };
        return reports;
    }

    void run()
    {
        const auto work = asio::make_work_guard(m_controlContext);
        auto trafficWork = asio::make_work_guard(m_trafficContext);
        std::thread trafficThread([this] { m_trafficContext.run(); });
        m_control.start();
        asio::post(m_trafficContext, [this] { m_traffic.start(); });
        m_log.info("Agent is ready.", logging::Field("peers", m_traffic.address()),
                   logging::Field("operators", m_operatorServer.address()));
        m_controlContext.run();
        m_trafficContext.stop();
        trafficThread.join();
        m_log.info("Agent stopped.");
    }

    void drain()
    {
        asio::post(m_controlContext, [this] {
            if (!std::exchange(m_draining, true)) {
                m_log.info("Agent is draining.");
                m_control.drain();
                waitUntilIdle();
            }
        });
    }

    void waitUntilIdle()
    {
        const bool isIdle = m_control.isIdle();
        m_drainTimer.expires_after(isIdle ? kResolveGracePeriod : kDrainPollInterval);
        m_drainTimer.async_wait([this, isIdle](boost::system::error_code error) {
            if (error) {
                return;
            }
            if (isIdle) {
                shutDown();
            } else {
                waitUntilIdle();
            }
        });
    }

    void shutDown()
    {
        const auto done = [this] {
            asio::post(m_controlContext, [this] {
                m_control.stop();
                m_operatorServer.close();
                m_controlContext.stop();
            });
        };
        asio::post(m_trafficContext, [this, done] { m_traffic.shutDown(done); });
    }

    // Declared first and therefore destroyed last, together with the coroutines that refer to the
    // members below.
    asio::io_context m_controlContext{1};
    asio::io_context m_trafficContext{1};
    const logging::Log m_log;
    metrics::Registry m_metrics;
    metrics::Health m_health;
    Control m_control;
    Traffic m_traffic;
    operators::OperatorServer m_operatorServer;
    asio::steady_timer m_drainTimer;
    bool m_draining = false;
};

Agent::Agent(const Endpoint &endpoint, const AgentAddresses &addresses, Incarnation self,
             logging::LogSystem &logs)
    : d(std::make_unique<Private>(endpoint, addresses, std::move(self), logs))
{
}

Agent::~Agent() = default;

Address Agent::peerAddress() const
{
    return d->m_traffic.address();
}

Address Agent::operatorAddress() const
{
    return d->m_operatorServer.address();
}

void Agent::run()
{
    d->run();
}

void Agent::drain()
{
    d->drain();
}

} // namespace basilhall::agent
