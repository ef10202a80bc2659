#include "basilhall/entry/run_entry.h"

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/base/random_name.h"
#include "basilhall/entry/control.h"
#include "basilhall/entry/traffic_thread.h"
#include "basilhall/metrics/health.h"
#include "basilhall/metrics/registry.h"
#include "basilhall/operator/operator_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <memory>
#include <random>
#include <vector>

namespace basilhall::entry
{

namespace asio = boost::asio;

namespace
{

constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);
// Time window of the quantile metrics.
constexpr Duration kQuantileWindow = std::chrono::minutes(1);
constexpr Duration kSealCheckInterval = std::chrono::seconds(1);
// Time for the load balancer to detect that the host is no longer ready.
constexpr Duration kBalancerDelay = std::chrono::seconds(1);

// The state of an entry process and its shutdown sequence.
class EntryProcess
{
public:
    explicit EntryProcess(const settings::EntrySettings &settings)
        : m_settings(settings)
        , m_random(makeRandomSource())
        , m_self(randomHexName(m_random))
        , m_logs(settings.log)
        , m_control(m_io, settings, m_self, m_random(), m_logs, m_registry)
        , m_operators(m_io.get_executor(), settings.operatorListen, m_registry, m_health, m_logs,
                      operatorReports())
        , m_signals(m_io, SIGTERM, SIGINT)
        , m_timer(m_io)
        , m_sealTimer(m_io)
    {
    }

    int run()
    {
        for (unsigned i = 0; i < m_settings.trafficThreads; ++i) {
            m_traffic.push_back(std::make_unique<TrafficThread>(m_control, m_settings.listen,
                                                                m_random(), m_registry));
        }
        m_traffic.front()->servePeers(m_settings.peerListen);
        m_control.onViewChanged([this](const RoutingViewPtr &before, const RoutingViewPtr &now) {
            for (const auto &thread : m_traffic) {
                thread->viewChanged(before, now);
            }
        });
        for (const auto &thread : m_traffic) {
            thread->start();
        }
        m_control.start();
        m_signals.async_wait([this](boost::system::error_code failure, int) {
            if (!failure) {
                beginDrain();
            }
        });
        watchForSeal();
        m_io.run();
        for (const auto &thread : m_traffic) {
            thread->stop();
        }
        return m_control.isSuperseded() ? kExitSuperseded : 0;
    }

private:
    operators::Reports operatorReports()
    {
        operators::Reports reports;
        reports.status = [this] { return m_control.statusDocument(); };
        reports.explain = [this](ProgramId program) -> asio::awaitable<Result<std::string>> {
            co_return m_control.explain(program);
        };
        reports.updateMetrics = [this](metrics::Registry &registry) {
            m_control.updateMetrics(registry);
        };
        reports.audit = [this] { return m_control.auditRecords(); };
        return reports;
    }

    // Called once a second on the control thread.
    void updateHealth()
    {
        const Instant now = MonotonicClock().now();
        m_health.beat(now);
        if (now >= m_nextRotation) {
            m_registry.rotate();
            m_nextRotation = now + kQuantileWindow;
        }
        m_health.setReady("manifest", m_control.view()->manifest != nullptr);
    }

    void watchForSeal()
    {
        updateHealth();
        if (m_control.isSuperseded()) {
            beginDrain();
            return;
        }
        m_sealTimer.expires_after(kSealCheckInterval);
        m_sealTimer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                watchForSeal();
            }
        });
    }

    void beginDrain()
    {
        if (m_isDraining) {
            return;
        }
        m_isDraining = true;
        m_health.beginDraining();
        m_drainBegin = MonotonicClock().now();
        m_control.beginDrain();
        awaitHandover();
    }

    void awaitHandover()
    {
        const bool isBalancerDelayOver = MonotonicClock().now() - m_drainBegin >= kBalancerDelay;
        if (isBalancerDelayOver && m_control.isDrained()) {
            drainTraffic();
            return;
        }
        m_timer.expires_after(kDrainCheckInterval);
        m_timer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                awaitHandover();
            }
        });
    }

    void drainTraffic()
    {
        m_busyThreads = m_traffic.size();
        for (const auto &thread : m_traffic) {
            thread->drain([this] {
                asio::post(m_io, [this] {
                    --m_busyThreads;
                    if (m_busyThreads == 0) {
                        m_operators.close();
                        m_control.stop();
                        m_io.stop();
                    }
                });
            });
        }
    }

    const settings::EntrySettings m_settings;
    asio::io_context m_io{1};
    std::mt19937_64 m_random;
    const Incarnation m_self;
    logging::LogSystem m_logs;
    metrics::Registry m_registry;
    Instant m_nextRotation;
    metrics::Health m_health{{"manifest"}};
    Control m_control;
    operators::OperatorServer m_operators;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    asio::steady_timer m_sealTimer;
    bool m_isDraining = false;
    std::vector<std::unique_ptr<TrafficThread>> m_traffic;
    Instant m_drainBegin;
    std::size_t m_busyThreads = 0;
};

} // namespace

int runEntry(const settings::EntrySettings &settings)
{
    return EntryProcess(settings).run();
}

} // namespace basilhall::entry
