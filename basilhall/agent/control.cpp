#include "basilhall/agent/control.h"

#include "basilhall/agent/internal/agent_metrics.h"
#include "basilhall/base/monotonic_clock.h"
#include "basilhall/metrics/health.h"

#include <boost/json.hpp>

namespace basilhall::agent
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kSweepInterval = std::chrono::seconds(1);
// Limits load reports to four per second.
constexpr Duration kReportInterval = std::chrono::milliseconds(250);
constexpr Duration kMetricsRotationInterval = std::chrono::minutes(1);
constexpr std::size_t kMaxReportedPrograms = 32;
// Maximum number of concurrent requests to free a program.
constexpr std::size_t kMaxConcurrentFrees = 32;

dispatch::RegistryLimits limitsOf(const Endpoint &endpoint)
{
    dispatch::RegistryLimits limits;
    limits.capacity = endpoint.capacity;
    return limits;
}

} // namespace

class Control::Private
{
public:
    Private(const asio::any_io_executor &executor, const Endpoint &endpoint, Incarnation self,
            logging::Log log, metrics::Registry &metrics, metrics::Health &health,
            ControlOutputs outputs)
        : m_endpoint(endpoint)
        , m_self(std::move(self))
        , m_log(std::move(log))
        , m_metrics(metrics)
        , m_agentMetrics(metrics)
        , m_health(health)
        , m_outputs(std::move(outputs))
        , m_registry(m_self, limitsOf(endpoint), schedule::FairQueue(schedule::OrderSettings()))
        , m_tickTimer(executor)
        , m_reportTimer(executor)
    {
    }

    bool isEngine() const { return m_endpoint.kind == manifest::EndpointKind::Engine; }
    Instant now() const { return m_clock.now(); }

    void start()
    {
        m_lastSweep = m_lastMetricsRotation = now();
        publish();
        tick();
    }

    void stop()
    {
        m_stopped = true;
        m_tickTimer.cancel();
        m_reportTimer.cancel();
    }

    // Forwards the decisions of the registry and records their effects.
    void carryOut(dispatch::Actions actions)
    {
        for (const dispatch::Action &action : actions) {
            if (const auto *start = std::get_if<dispatch::Start>(&action)) {
                recordStart(*m_registry.find(start->callId));
            } else if (std::holds_alternative<dispatch::Cancel>(action)) {
                m_agentMetrics.cancelled.add();
            }
        }
        if (!actions.empty()) {
            m_outputs.carryOut(std::move(actions));
        }
        scheduleReport();
    }

    void recordStart(const dispatch::Dispatch &dispatch)
    {
        if (isEngine()) {
            m_sessions.touch(dispatch.item.program, dispatch.shard, dispatch.epoch, now());
        }
    }

    void recordFinished(const dispatch::Dispatch &dispatch, const wire::Usage &usage)
    {
        m_agentMetrics.addTokens(usage);
        const std::uint64_t tokensInCache = usage.prompt_tokens() + usage.completion_tokens();
        if (isEngine() && tokensInCache > 0) {
            m_sessions.setTokens(dispatch.item.program, tokensInCache, now());
        }
    }

    // Updates the load metrics and publishes a report as soon as the rate limit allows.
    void scheduleReport()
    {
        m_agentMetrics.running.set(static_cast<double>(m_registry.running()));
        m_agentMetrics.queued.set(static_cast<double>(m_registry.queued()));
        if (m_reportPending || m_stopped) {
            return;
        }
        if (now() - m_lastReport >= kReportInterval) {
            publish();
            return;
        }
        m_reportPending = true;
        m_reportTimer.expires_after(m_lastReport + kReportInterval - now());
        m_reportTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                m_reportPending = false;
                publish();
            }
        });
    }

    void publish()
    {
        m_lastReport = now();
        m_outputs.publish(report());
    }

    wire::LoadReport report() const
    {
        wire::LoadReport report;
        report.set_endpoint(m_endpoint.name.value());
        report.set_incarnation(m_self.value());
        report.set_running(static_cast<std::uint32_t>(m_registry.running()));
        report.set_queued(static_cast<std::uint32_t>(m_registry.queued()));
        report.set_capacity(m_endpoint.capacity);
        report.set_queued_tokens(m_registry.queuedTokens());
        report.set_draining(m_registry.isDraining());
        report.set_endpoint_healthy(m_isHealthy);
        for (const Session &session : m_sessions.newest(kMaxReportedPrograms)) {
            wire::CachedProgram *cached = report.add_cached();
            cached->set_program_id(session.program.value());
            cached->set_tokens(session.tokens);
        }
        return report;
    }

    void tick()
    {
        if (m_stopped) {
            return;
        }
        const Instant time = now();
        m_health.beat(time);
        if (m_registry.queued() > 0) {
            carryOut(m_registry.expire(time));
        }
        if (time - m_lastSweep >= kSweepInterval) {
            m_lastSweep = time;
            sweep();
        }
        if (time - m_lastMetricsRotation >= kMetricsRotationInterval) {
            m_lastMetricsRotation = time;
            m_metrics.rotate();
        }
        m_tickTimer.expires_after(kTickInterval);
        m_tickTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                tick();
            }
        });
    }

    // Asks the engine to free the programs that are due.
    void sweep()
    {
        if (!isEngine()) {
            return;
        }
        const auto isLive = [this](const ProgramId &program) {
            return m_registry.hasLiveCall(program);
        };
        for (const Session &session : m_sessions.due(now(), isLive)) {
            if (m_freeing.size() < kMaxConcurrentFrees
                && m_freeing.insert(session.program).second) {
                m_outputs.freeSession(session);
            }
        }
        m_agentMetrics.cachedPrograms.set(static_cast<double>(m_sessions.size()));
    }

    const Endpoint m_endpoint;
    const Incarnation m_self;
    const logging::Log m_log;
    metrics::Registry &m_metrics;
    internal::AgentMetrics m_agentMetrics;
    metrics::Health &m_health;
    const ControlOutputs m_outputs;
    const MonotonicClock m_clock{};
    dispatch::Registry<schedule::FairQueue> m_registry;
    SessionTable m_sessions;
    std::unordered_set<ProgramId> m_freeing;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_reportTimer;
    Instant m_lastReport;
    Instant m_lastSweep;
    Instant m_lastMetricsRotation;
    bool m_reportPending = false;
    bool m_isHealthy = false;
    bool m_stopped = false;
};

Control::Control(const asio::any_io_executor &executor, const Endpoint &endpoint, Incarnation self,
                 logging::Log log, metrics::Registry &metrics, metrics::Health &health,
                 ControlOutputs outputs)
    : d(std::make_unique<Private>(executor, endpoint, std::move(self), std::move(log), metrics,
                                  health, std::move(outputs)))
{
}

Control::~Control() = default;

void Control::start()
{
    d->start();
}

void Control::stop()
{
    d->stop();
}

void Control::dispatch(dispatch::StreamNumber stream, const dispatch::Dispatch &dispatch)
{
    d->m_sessions.observeEpoch(dispatch.shard, dispatch.epoch, d->now());
    d->carryOut(d->m_registry.dispatch(stream, dispatch, d->now()));
}

void Control::abandoned(dispatch::StreamNumber stream)
{
    d->carryOut(d->m_registry.onAbandoned(stream));
}

void Control::finished(const CallId &callId, const Result<wire::Answer> &result)
{
    std::uint64_t served = 0;
    const dispatch::Dispatch *dispatch = d->m_registry.find(callId);
    if (dispatch != nullptr && result) {
        const wire::Usage &usage = result.value().usage();
        const std::uint64_t known = std::min(usage.cached_tokens(), usage.prompt_tokens());
        served = usage.prompt_tokens() - known + usage.completion_tokens();
        d->recordFinished(*dispatch, usage);
    }
    d->carryOut(d->m_registry.onFinished(callId, result, served, d->now()));
}

dispatch::Resolution Control::resolve(const wire::ResolveRequest &request)
{
    d->m_sessions.observeEpoch(request.shard(), request.epoch(), d->now());
    return d->m_registry.resolve(CallId(request.call_id()),
                                 Incarnation(request.agent_incarnation()), request.shard(),
                                 request.epoch());
}

void Control::release(const wire::ReleaseRequest &request)
{
    const ProgramId program(request.program_id());
    if (!d->m_registry.release(program, request.shard(), request.epoch())) {
        return;
    }
    if (d->isEngine()) {
        d->m_sessions.observeEpoch(request.shard(), request.epoch(), d->now());
        d->m_sessions.release(program, request.epoch(), d->now());
        d->sweep();
        d->scheduleReport();
    }
}

void Control::sessionTokensReported(const ProgramId &program, std::uint64_t tokens)
{
    d->m_sessions.setTokens(program, tokens, d->now());
}

void Control::sessionFreed(const ProgramId &program, Instant sent)
{
    d->m_freeing.erase(program);
    d->m_sessions.freed(program, sent);
    d->scheduleReport();
}

void Control::sessionFreeFailed(const ProgramId &program)
{
    d->m_freeing.erase(program);
}

void Control::endpointHealthReported(bool isHealthy)
{
    if (d->m_isHealthy == isHealthy) {
        return;
    }
    d->m_isHealthy = isHealthy;
    d->m_health.setReady("endpoint", isHealthy);
    d->m_agentMetrics.healthy.set(isHealthy ? 1 : 0);
    if (isHealthy) {
        d->m_log.info("Endpoint is healthy.", logging::Field("endpoint", d->m_endpoint.name));
    } else {
        d->m_log.warning("Endpoint is not responding.",
                         logging::Field("endpoint", d->m_endpoint.name));
    }
    d->scheduleReport();
}

void Control::drain()
{
    d->m_health.beginDraining();
    d->carryOut(d->m_registry.drain());
    d->publish();
}

bool Control::isIdle() const
{
    return d->m_registry.running() == 0 && d->m_registry.queued() == 0;
}

std::string Control::status() const
{
    return json::serialize(json::object{{"role", "agent"},
                                        {"endpoint", d->m_endpoint.name.value()},
                                        {"incarnation", d->m_self.value()},
                                        {"healthy", d->m_isHealthy},
                                        {"draining", d->m_registry.isDraining()},
                                        {"running", d->m_registry.running()},
                                        {"capacity", d->m_endpoint.capacity},
                                        {"queued", d->m_registry.queued()},
                                        {"queued_tokens", d->m_registry.queuedTokens()},
                                        {"cached_programs", d->m_sessions.size()}});
}

} // namespace basilhall::agent
