#include "bench/policy/run.h"

#include <algorithm>

namespace basilhall::bench
{

namespace
{

constexpr Duration kReportLag = std::chrono::milliseconds(100);
constexpr Duration kCacheEventLag = std::chrono::milliseconds(500);
constexpr std::uint64_t kCacheEventLossPercent = 20;
constexpr Duration kFailureDetection = std::chrono::seconds(1);
// A run ends this long after the last arrival, whatever is left.
constexpr Duration kMaxDrain = std::chrono::seconds(1200);
constexpr std::uint32_t kMaxRefusals = 20;
constexpr double kLimitHeadroom = 1.5;
constexpr std::uint32_t kMaxSlices = 3;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration durationOf(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e9));
}

} // namespace

Run::Run(const Deployment &deployment, const Way &way, const WorkloadSettings &settings)
    : m_deployment(deployment)
    , m_way(way)
    , m_settings(settings)
    , m_workload(makeWorkload(deployment, settings))
    , m_start(m_timeline.now())
    , m_random(settings.seed)
    , m_retryPolicy(retry::RetrySettings{})
{
    build();
}

Figures Run::measure()
{
    for (std::uint32_t program = 0; program < m_programs.size(); ++program) {
        if (plan(program).parent < 0) {
            ++m_left;
            m_timeline.after(plan(program).arrival, [=, this] {
                m_programs[program].startedAt = m_timeline.now();
                startTurn(program);
            });
        }
    }
    for (std::uint32_t endpoint = 0; endpoint < m_endpoints.size(); ++endpoint) {
        report(endpoint);
    }
    scheduleFaults();
    const Instant end = m_start + m_settings.length + kMaxDrain;
    m_timeline.runUntil(end, [this] { return m_left == 0; });
    for (std::uint32_t program = 0; program < m_programs.size(); ++program) {
        const bool hasBegun = m_programs[program].startedAt != Instant{};
        if (plan(program).parent < 0 && hasBegun && !m_programs[program].hasEnded) {
            endProgram(program, false);
        }
    }
    m_figures.hostSeconds = secondsOf(m_timeline.now() - m_start) * m_deployment.hosts;
    if (m_limits) {
        m_figures.wrongfullyRefused = m_limits->wrongfullyRefused();
        m_figures.controlMessages += m_limits->messages();
    }
    return std::move(m_figures);
}

void Run::build()
{
    std::vector<std::vector<route::EndpointInfo>> infos;
    for (std::uint32_t pool = 0; pool < m_deployment.pools.size(); ++pool) {
        m_firstOfPool.push_back(static_cast<std::uint32_t>(m_endpoints.size()));
        infos.emplace_back();
        for (std::uint32_t index = 0; index < m_deployment.pools[pool].endpoints; ++index) {
            const auto endpoint = static_cast<std::uint32_t>(m_endpoints.size());
            const std::string domain = std::to_string(index % m_deployment.failureDomains);
            infos.back().push_back(
                {EndpointName("e" + std::to_string(endpoint)), FailureDomain(domain)});
            m_poolOf.push_back(pool);
            m_endpoints.emplace_back(
                m_way, m_deployment.pools[pool],
                [=, this](std::uint32_t program) { onEvicted(endpoint, program); });
        }
    }
    const double largest = m_workload.teamCallsPerSecond.front();
    for (std::uint32_t team = 0; team < m_deployment.teams; ++team) {
        m_teamNames.emplace_back("team-" + std::to_string(team));
        const double share = m_workload.teamCallsPerSecond[team] / largest;
        const double weight = m_way.equalWeights ? 1 : share;
        m_teamWeights.push_back(std::max(1U, static_cast<std::uint32_t>(weight * 1000)));
    }
    for (std::uint32_t host = 0; host < m_deployment.hosts; ++host) {
        const retry::RetryBudget budget(retry::RetrySettings{});
        m_hosts.push_back(Host{FailureDomain(std::to_string(host % m_deployment.failureDomains)),
                               {},
                               std::vector(m_deployment.teams, budget),
                               std::vector(m_endpoints.size(), budget)});
        for (std::uint32_t pool = 0; pool < infos.size(); ++pool) {
            m_hosts.back().routers.emplace_back(m_way, m_deployment.pools[pool], infos[pool]);
        }
    }
    m_programs.resize(m_workload.programs.size());
    for (std::size_t program = 0; program < m_programs.size(); ++program) {
        m_programIds.emplace_back("p" + std::to_string(program));
    }
    m_figures.teams.resize(m_deployment.teams);
    if (m_way.limits) {
        m_limits = std::make_unique<FleetLimits>(m_timeline, m_deployment.hosts,
                                                 m_deployment.crossDomainDelay, kMaxSlices,
                                                 limit::LimitTimes{});
        for (std::uint32_t team = 0; team < m_deployment.teams; ++team) {
            const double perSecond = m_workload.teamCallsPerSecond[team] * kLimitHeadroom;
            const auto burst = static_cast<std::uint32_t>(std::max(10.0, perSecond * 10));
            m_limits->addTeam(m_teamNames[team],
                              {static_cast<std::uint64_t>(perSecond * 1000), burst});
        }
    }
}

// One engine leaves in good order and comes back, another dies and comes back without its cache.
void Run::scheduleFaults()
{
    const auto set = [this](double share, std::function<void()> run) {
        m_timeline.after(at(share) - m_start, std::move(run));
    };
    set(0.35, [this] { m_endpoints[0].isDraining = true; });
    set(0.45, [this] { m_endpoints[0].isDraining = false; });
    set(0.60, [this] {
        m_endpoints[1].fail();
        for (const auto &[id, call] : m_calls) {
            if (call->endpoint == 1 && !call->done) {
                m_timeline.after(kFailureDetection, [this, call = call] {
                    const Error lost(ErrorKind::ConnectionLost, "endpoint is gone");
                    onFailure(call, call->begun ? lost : lost.withNotRun());
                });
            }
        }
    });
    set(0.65, [this] { m_endpoints[1].isAlive = true; });
}

void Run::report(std::uint32_t endpoint)
{
    if (m_endpoints[endpoint].isAlive) {
        const route::EndpointLoad load = m_endpoints[endpoint].load();
        m_timeline.after(kReportLag, [=, this] {
            const std::uint32_t pool = m_poolOf[endpoint];
            for (Host &host : m_hosts) {
                host.routers[pool].onReport(endpoint - m_firstOfPool[pool], load, m_timeline.now());
            }
            m_figures.controlMessages += m_hosts.size();
        });
    }
    m_timeline.after(m_way.reportInterval, [=, this] { report(endpoint); });
}

void Run::onEvicted(std::uint32_t endpoint, std::uint32_t program)
{
    if (m_random() % 100 < kCacheEventLossPercent) {
        return;
    }
    m_timeline.after(kCacheEventLag, [=, this] {
        const std::uint32_t local = endpoint - m_firstOfPool[m_poolOf[endpoint]];
        routerOf(program).onPrefix(local, m_programIds[program], 0);
        ++m_figures.controlMessages;
    });
}

void Run::startTurn(std::uint32_t program)
{
    if (!m_limits || plan(program).pool != 0) {
        dispatch(program, 1);
        return;
    }
    m_limits->admit(hostOf(program), m_teamNames[plan(program).team],
                    [=, this](const std::optional<Error> &refused) {
                        if (!refused) {
                            dispatch(program, 1);
                            return;
                        }
                        m_figures.refused += plan(program).isFlood ? 0 : 1;
                        if (++m_programs[program].refusals > kMaxRefusals) {
                            endProgram(rootOf(program), false);
                            return;
                        }
                        const Duration wait = refused->retryAfter().value_or(kFailureDetection);
                        m_timeline.after(wait, [=, this] { startTurn(program); });
                    });
}

void Run::dispatch(std::uint32_t program, std::uint32_t attempt)
{
    ProgramState &state = m_programs[program];
    if (m_programs[rootOf(program)].hasEnded) {
        return;
    }
    const Turn &turn = plan(program).turns[state.turn];
    const std::uint64_t promptTokens = state.historyTokens + turn.newTokens;
    const std::uint32_t host = hostOf(program);
    const route::Query query{m_programIds[program], promptTokens, m_hosts[host].domain,
                             state.excluded};
    const auto picked = routerOf(program).pick(query, m_random(), m_timeline.now());
    if (!picked) {
        state.excluded.clear();
        m_timeline.after(kFailureDetection, [=, this] { dispatch(program, attempt); });
        return;
    }
    const bool isNew = state.turn == 0 && plan(program).parent < 0;
    if (isNew && m_way.refuseAboveSeconds > 0 && plan(program).programClass != ProgramClass::Alert
        && picked->waitSeconds > m_way.refuseAboveSeconds) {
        refuse(program);
        return;
    }
    auto call = std::make_shared<Call>();
    call->id = CallId("c" + std::to_string(++m_lastCall));
    call->program = program;
    call->promptTokens = promptTokens;
    call->newTokens = turn.newTokens;
    call->answerTokens = turn.answerTokens;
    call->expectedCached = picked->expectedCached;
    call->attempt = attempt;
    m_calls.emplace(call->id, call);
    ++m_figures.calls;
    queueAt(call, m_firstOfPool[plan(program).pool] + picked->endpoint);
}

void Run::queueAt(const CallPointer &call, std::uint32_t endpoint)
{
    const std::uint32_t pool = m_poolOf[endpoint];
    call->endpoint = endpoint;
    routerOf(call->program)
        .onSent(endpoint - m_firstOfPool[pool], call->id, itemOf(*call).estimatedTokens,
                m_timeline.now());
    m_timeline.after(delay(hostOf(call->program), endpoint), [=, this] {
        EndpointModel &model = m_endpoints[endpoint];
        if (!model.isAlive) {
            m_timeline.after(kFailureDetection, [=, this] {
                onFailure(call, Error(ErrorKind::ConnectionLost, "no answer").withNotRun());
            });
            return;
        }
        if (model.isDraining) {
            onFailure(call, Error(ErrorKind::Draining, "endpoint leaves").withNotRun());
            return;
        }
        model.push(itemOf(*call));
        runNext(endpoint);
        if (m_way.hedgeAfterSeconds > 0 && !call->begun) {
            m_timeline.after(durationOf(m_way.hedgeAfterSeconds),
                             [=, this] { hedge(call, endpoint); });
        }
        if (m_way.hedgeUrgent && plan(call->program).programClass == ProgramClass::Alert) {
            hedge(call, endpoint);
        }
    });
}

// Queues the call at a second endpoint too; whichever begins it first takes it from the other.
void Run::hedge(const CallPointer &call, std::uint32_t first)
{
    if (call->begun || call->done || !m_endpoints[first].isAlive) {
        return;
    }
    const std::uint32_t pool = m_poolOf[first];
    const std::uint32_t host = hostOf(call->program);
    const route::Query query{m_programIds[call->program],
                             call->promptTokens,
                             m_hosts[host].domain,
                             {EndpointName("e" + std::to_string(first))}};
    const auto picked = routerOf(call->program).pick(query, m_random(), m_timeline.now());
    if (!picked) {
        return;
    }
    const std::uint32_t second = m_firstOfPool[pool] + picked->endpoint;
    m_timeline.after(delay(host, second), [=, this] {
        if (!call->begun && !call->done && m_endpoints[second].isAlive
            && !m_endpoints[second].isDraining) {
            m_endpoints[second].push(itemOf(*call));
            m_figures.controlMessages += 2;
            runNext(second);
        }
    });
}

void Run::runNext(std::uint32_t endpoint)
{
    EndpointModel &model = m_endpoints[endpoint];
    while (model.hasPlace()) {
        if (!model.mayPop(m_way.urgentPlaces)) {
            return;
        }
        const std::optional<schedule::QueuedCall> item = model.pop(m_timeline.now());
        if (!item) {
            return;
        }
        const auto found = m_calls.find(item->callId);
        if (found != m_calls.end() && !found->second->begun && !found->second->done) {
            begin(found->second, *item, endpoint);
        } else {
            model.settle(*item, 0);
        }
    }
}

} // namespace basilhall::bench
