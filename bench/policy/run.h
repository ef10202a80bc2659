// One run: a workload through one way of deciding, under virtual time.
//
//     const Figures figures = Run(deployment, way, settings).measure();
#pragma once

#include "basilhall/retry/retry_policy.h"
#include "bench/limiter/fleet_limits.h"
#include "bench/policy/call.h"
#include "bench/policy/endpoint_model.h"
#include "bench/policy/figures.h"
#include "bench/policy/host_router.h"
#include "bench/policy/workload.h"

#include <memory>
#include <random>

namespace basilhall::bench
{

class Run
{
public:
    Run(const Deployment &deployment, const Way &way, const WorkloadSettings &settings);

    // Call once.
    Figures measure();

private:
    struct ProgramState {
        std::uint32_t turn = 0;
        std::uint64_t historyTokens = 0;
        // Tokens served to the whole tree of programs; kept at the root.
        std::uint64_t attained = 0;
        Instant startedAt;
        Duration lastPause{};
        std::vector<std::uint32_t> endpoints;
        std::vector<EndpointName> excluded;
        std::uint32_t refusals = 0;
        bool hasEnded = false;
    };

    struct Host {
        FailureDomain domain;
        std::vector<HostRouter> routers;
        std::vector<retry::RetryBudget> teamBudgets;
        std::vector<retry::RetryBudget> endpointBudgets;
    };

    using CallPointer = std::shared_ptr<Call>;

    void build();
    void scheduleFaults();
    void report(std::uint32_t endpoint);
    void onEvicted(std::uint32_t endpoint, std::uint32_t program);

    void startTurn(std::uint32_t program);
    void dispatch(std::uint32_t program, std::uint32_t attempt);
    void queueAt(const CallPointer &call, std::uint32_t endpoint);
    void hedge(const CallPointer &call, std::uint32_t first);
    void runNext(std::uint32_t endpoint);
    void begin(const CallPointer &call, const schedule::QueuedCall &item, std::uint32_t endpoint);
    std::uint64_t findPrefix(const Call &call, std::uint32_t endpoint, Duration &moved);
    void finish(const CallPointer &call, const schedule::QueuedCall &item, std::uint32_t endpoint);
    void onAnswer(const CallPointer &call);
    void onFailure(const CallPointer &call, const Error &error);
    void refuse(std::uint32_t program);
    void endProgram(std::uint32_t program, bool isComplete);
    void releaseCache(std::uint32_t program);
    void resumeAfter(std::uint32_t program, Duration pause);

    const ProgramPlan &plan(std::uint32_t program) const { return m_workload.programs[program]; }
    std::uint32_t rootOf(std::uint32_t program) const;
    std::uint32_t hostOf(std::uint32_t program) const;
    HostRouter &routerOf(std::uint32_t program);
    schedule::QueuedCall itemOf(const Call &call) const;
    std::uint64_t costTokens(std::uint32_t pool, std::uint64_t prompt, std::uint64_t answer) const;
    Duration delay(std::uint32_t host, std::uint32_t endpoint) const;
    Instant at(double shareOfRun) const;
    bool isMeasured(Instant when) const;
    double floorOf(std::uint32_t program) const;

    Deployment m_deployment;
    Way m_way;
    WorkloadSettings m_settings;
    Workload m_workload;
    Timeline m_timeline;
    Instant m_start;
    std::mt19937_64 m_random;
    retry::RetryPolicy m_retryPolicy;
    std::vector<ProgramState> m_programs;
    std::vector<ProgramId> m_programIds;
    std::vector<TeamName> m_teamNames;
    std::vector<std::uint32_t> m_teamWeights;
    std::vector<Host> m_hosts;
    // Endpoints of all pools, one pool after the other.
    std::vector<EndpointModel> m_endpoints;
    std::vector<std::uint32_t> m_firstOfPool;
    std::vector<std::uint32_t> m_poolOf;
    std::unordered_map<CallId, CallPointer> m_calls;
    std::unique_ptr<FleetLimits> m_limits;
    std::uint64_t m_lastCall = 0;
    std::size_t m_left = 0;
    Figures m_figures;
};

} // namespace basilhall::bench
