// The part of a run from the moment an endpoint begins a call.
#include "bench/policy/run.h"

#include <algorithm>

namespace basilhall::bench
{

namespace
{

constexpr double kWarmUpShare = 0.15;
// Answer tokens expected of a call whose length is unknown.
constexpr std::uint64_t kExpectedAnswer = 110;
// Tokens, computed prompt included at its cost, after which a program is ended.
constexpr std::uint64_t kBudgetTokens = 4'500;
constexpr double kImportTokensPerSecond = 40'000;
constexpr Duration kLongPause = std::chrono::seconds(8);

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

void Run::begin(const CallPointer &call, const schedule::QueuedCall &item, std::uint32_t endpoint)
{
    EndpointModel &model = m_endpoints[endpoint];
    call->begun = true;
    call->endpoint = endpoint;
    ++model.running;
    Duration moved{};
    call->foundCached = findPrefix(*call, endpoint, moved);
    const std::uint64_t computed = call->promptTokens - call->foundCached;
    const std::uint64_t keepable = call->promptTokens - call->newTokens;
    m_figures.keepableTokens += keepable;
    m_figures.recomputedTokens += keepable - std::min(keepable, call->foundCached);
    const Duration firstToken = moved + model.engine.prefillTime(computed);
    if (plan(call->program).programClass == ProgramClass::Alert && !plan(call->program).isFlood) {
        const Instant arrived = m_programs[call->program].startedAt;
        if (isMeasured(arrived)) {
            m_figures.alertFirstToken.push_back(secondsOf(m_timeline.now() + firstToken - arrived));
        }
    }
    const std::uint32_t life = model.life;
    const Duration length = firstToken + model.engine.decodeTime(call->answerTokens);
    m_timeline.after(length, [=, this] {
        if (m_endpoints[endpoint].life == life) {
            finish(call, item, endpoint);
        }
    });
}

// Tokens of the call's history that the endpoint need not compute; `moved` is the time that an
// import from another endpoint takes.
std::uint64_t Run::findPrefix(const Call &call, std::uint32_t endpoint, Duration &moved)
{
    const std::uint64_t history = call.promptTokens - call.newTokens;
    const std::uint64_t here =
        std::min(m_endpoints[endpoint].engine.cachedTokens(call.program), history);
    if (m_way.cache != CacheRule::Move || here == history) {
        return here;
    }
    for (const std::uint32_t other : m_programs[call.program].endpoints) {
        const std::uint64_t there =
            std::min(m_endpoints[other].engine.cachedTokens(call.program), history);
        if (there > here) {
            const double seconds = static_cast<double>(there) / kImportTokensPerSecond;
            moved = Duration(static_cast<std::int64_t>(seconds * 1e9));
            m_endpoints[other].engine.drop(call.program);
            m_figures.controlMessages += 2;
            return there;
        }
    }
    return here;
}

void Run::finish(const CallPointer &call, const schedule::QueuedCall &item, std::uint32_t endpoint)
{
    EndpointModel &model = m_endpoints[endpoint];
    --model.running;
    call->done = true;
    model.engine.store(call->program, call->promptTokens + call->answerTokens);
    const std::uint64_t served =
        costTokens(m_poolOf[endpoint], call->promptTokens - call->foundCached, call->answerTokens);
    model.settle(item, served);
    m_programs[rootOf(call->program)].attained += served;
    const ProgramPlan &planned = plan(call->program);
    if (isMeasured(m_timeline.now()) && !planned.isFlood) {
        m_figures.teams[planned.team].servedTokens += static_cast<double>(served);
    }
    runNext(endpoint);
    m_timeline.after(delay(hostOf(call->program), endpoint), [=, this] { onAnswer(call); });
}

void Run::onAnswer(const CallPointer &call)
{
    const std::uint32_t program = call->program;
    ProgramState &state = m_programs[program];
    const ProgramPlan &planned = plan(program);
    HostRouter &router = routerOf(program);
    const std::uint32_t local = call->endpoint - m_firstOfPool[planned.pool];
    Host &host = m_hosts[hostOf(program)];
    router.onFinished(local, call->id);
    router.onPrefixUsed(local, call->expectedCached, call->foundCached);
    host.teamBudgets[planned.team].onSuccess();
    host.endpointBudgets[call->endpoint].onSuccess();
    m_calls.erase(call->id);
    state.excluded.clear();
    state.historyTokens = call->promptTokens + call->answerTokens;
    router.onPrefix(local, m_programIds[program], state.historyTokens);
    if (std::find(state.endpoints.begin(), state.endpoints.end(), call->endpoint)
        == state.endpoints.end()) {
        state.endpoints.push_back(call->endpoint);
    }
    const Turn &turn = planned.turns[state.turn];
    ++state.turn;
    const bool isSpent = m_programs[rootOf(program)].attained >= kBudgetTokens;
    if (state.turn >= planned.turns.size() || isSpent) {
        endProgram(program, true);
        return;
    }
    if (turn.child >= 0) {
        const auto child = static_cast<std::uint32_t>(turn.child);
        m_programs[child].startedAt = m_timeline.now();
        startTurn(child);
        return;
    }
    resumeAfter(program, turn.pause);
}

void Run::resumeAfter(std::uint32_t program, Duration pause)
{
    ProgramState &state = m_programs[program];
    if (m_way.cache == CacheRule::DropLongPauses && state.lastPause > kLongPause) {
        releaseCache(program);
    }
    state.lastPause = pause;
    m_timeline.after(pause, [=, this] { startTurn(program); });
}

void Run::onFailure(const CallPointer &call, const Error &error)
{
    if (call->done || m_programs[rootOf(call->program)].hasEnded) {
        return;
    }
    call->done = true;
    m_calls.erase(call->id);
    const std::uint32_t program = call->program;
    const std::uint32_t pool = plan(program).pool;
    routerOf(program).onFinished(call->endpoint - m_firstOfPool[pool], call->id);
    m_programs[program].excluded.push_back(EndpointName("e" + std::to_string(call->endpoint)));
    Host &host = m_hosts[hostOf(program)];
    std::optional<Duration> wait = Duration::zero();
    if (m_way.retryBudget) {
        const retry::FailedAttempt attempt{
            .number = call->attempt, .idempotent = true, .error = error};
        wait = m_retryPolicy.decide(attempt, host.teamBudgets[plan(program).team],
                                    host.endpointBudgets[call->endpoint], m_random(),
                                    m_timeline.now());
    }
    if (!wait) {
        endProgram(rootOf(program), false);
        return;
    }
    ++m_figures.retries;
    m_timeline.after(*wait, [=, this, next = call->attempt + 1] { dispatch(program, next); });
}

void Run::refuse(std::uint32_t program)
{
    m_figures.refused += plan(program).isFlood ? 0 : 1;
    m_programs[program].hasEnded = true;
    --m_left;
}

// An incomplete program counts with the time that it took so far.
void Run::endProgram(std::uint32_t program, bool isComplete)
{
    ProgramState &state = m_programs[program];
    if (state.hasEnded) {
        return;
    }
    state.hasEnded = true;
    routerOf(program).onProgramEnded(m_programIds[program]);
    if (m_way.cache != CacheRule::Leave) {
        releaseCache(program);
    }
    const ProgramPlan &planned = plan(program);
    if (planned.parent >= 0) {
        resumeAfter(static_cast<std::uint32_t>(planned.parent), Duration::zero());
        return;
    }
    --m_left;
    m_figures.unfinished += isComplete || planned.isFlood ? 0 : 1;
    if (isMeasured(state.startedAt) && !planned.isFlood) {
        const double seconds = secondsOf(m_timeline.now() - state.startedAt);
        m_figures.latencies[static_cast<std::size_t>(planned.programClass)].push_back(seconds);
        m_figures.teams[planned.team].latencies.push_back(seconds);
        if (planned.programClass != ProgramClass::Loop) {
            m_figures.floorSeconds += floorOf(program);
        }
    }
}

void Run::releaseCache(std::uint32_t program)
{
    for (const std::uint32_t endpoint : m_programs[program].endpoints) {
        m_endpoints[endpoint].engine.drop(program);
        ++m_figures.controlMessages;
    }
    m_programs[program].endpoints.clear();
}

std::uint32_t Run::rootOf(std::uint32_t program) const
{
    const std::int64_t parent = plan(program).parent;
    return parent < 0 ? program : static_cast<std::uint32_t>(parent);
}

std::uint32_t Run::hostOf(std::uint32_t program) const
{
    return program % m_deployment.hosts;
}

HostRouter &Run::routerOf(std::uint32_t program)
{
    return m_hosts[hostOf(program)].routers[plan(program).pool];
}

schedule::QueuedCall Run::itemOf(const Call &call) const
{
    const ProgramPlan &planned = plan(call.program);
    schedule::QueuedCall item;
    item.callId = call.id;
    item.program = m_programIds[call.program];
    item.team = m_teamNames[planned.team];
    item.weight = m_teamWeights[planned.team];
    item.priority = planned.programClass == ProgramClass::Alert ? schedule::PriorityClass::Urgent
                                                                : schedule::PriorityClass::Normal;
    item.attainedTokens = m_programs[rootOf(call.program)].attained;
    item.estimatedTokens =
        costTokens(planned.pool, call.promptTokens - call.expectedCached, kExpectedAnswer);
    item.enqueued = m_timeline.now();
    if (m_way.byProgramAge) {
        item.programStarted = m_programs[rootOf(call.program)].startedAt;
    }
    return item;
}

// Prompt tokens count by the time they take against the time of an answer's token.
std::uint64_t Run::costTokens(std::uint32_t pool, std::uint64_t prompt, std::uint64_t answer) const
{
    const PoolShape &shape = m_deployment.pools[pool];
    const double perPromptToken =
        1 / (shape.prefillTokensPerSecond * secondsOf(shape.tokenInterval));
    return answer + static_cast<std::uint64_t>(static_cast<double>(prompt) * perPromptToken);
}

Duration Run::delay(std::uint32_t host, std::uint32_t endpoint) const
{
    const std::uint32_t local = endpoint - m_firstOfPool[m_poolOf[endpoint]];
    const bool isSame = host % m_deployment.failureDomains == local % m_deployment.failureDomains;
    return isSame ? m_deployment.crossDomainDelay / 10 : m_deployment.crossDomainDelay;
}

Instant Run::at(double shareOfRun) const
{
    const double nanos = static_cast<double>(m_settings.length.count()) * shareOfRun;
    return m_start + Duration(static_cast<std::int64_t>(nanos));
}

// Seconds that the program takes with nothing to wait for and a perfect cache.
double Run::floorOf(std::uint32_t program) const
{
    const ProgramPlan &planned = plan(program);
    const PoolShape &shape = m_deployment.pools[planned.pool];
    double seconds = 0;
    for (std::size_t index = 0; index < planned.turns.size(); ++index) {
        const Turn &turn = planned.turns[index];
        seconds += static_cast<double>(turn.newTokens) / shape.prefillTokensPerSecond;
        seconds += static_cast<double>(turn.answerTokens) * secondsOf(shape.tokenInterval);
        const bool isLast = index + 1 == planned.turns.size();
        if (!isLast) {
            seconds += turn.child >= 0 ? floorOf(static_cast<std::uint32_t>(turn.child))
                                       : secondsOf(turn.pause);
        }
    }
    return seconds;
}

bool Run::isMeasured(Instant when) const
{
    return when >= at(kWarmUpShare) && when < at(1);
}

} // namespace basilhall::bench
