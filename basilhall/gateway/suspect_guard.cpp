#include "basilhall/gateway/suspect_guard.h"

#include "basilhall/base/monotonic_clock.h"

namespace basilhall::gateway
{

SuspectGuard::SuspectGuard(FleetState &state, CallLog &log)
    : m_state(state)
    , m_log(log)
{
}

Result<suspects::Treatment> SuspectGuard::admit(const CallContext &context) const
{
    const Instant now = MonotonicClock().now();
    const suspects::Suspicion suspicion = heldAgainst(context, now);
    suspects::Verdict verdict = suspects::judge(suspicion, now);
    if (verdict.treatment == suspects::Treatment::Alone
        && m_runs.isRunning(countedKey(context, now))) {
        verdict = {suspects::Treatment::Hold, suspects::kAlonePause};
    }
    if (verdict.treatment == suspects::Treatment::Hold) {
        m_log.held(context, suspicion, verdict.wait);
        return Error(ErrorKind::Unavailable,
                     "endpoints ended while they ran this request; it is not run again now")
            .withNotRun()
            .withRetryAfter(verdict.wait);
    }
    return verdict.treatment;
}

suspects::RequestKey SuspectGuard::countedKey(const CallContext &context, Instant now) const
{
    const bool countsFamily = m_state.families().isSuspicious(context.requestKey, now);
    return countsFamily ? context.requestKey : context.bodyKey.value_or(context.requestKey);
}

suspects::Suspicion SuspectGuard::heldAgainst(const CallContext &context, Instant now) const
{
    const suspects::Suspicion family = m_state.crashes().suspicion(context.requestKey);
    if (!context.bodyKey) {
        return family;
    }
    const suspects::Suspicion body = m_state.bodyCrashes().suspicion(*context.bodyKey);
    const bool countsFamily = m_state.families().isSuspicious(context.requestKey, now)
        && suspects::judge(body, now) < suspects::judge(family, now);
    return countsFamily ? family : body;
}

suspects::Treatment SuspectGuard::treatment(const CallContext &context, Instant now) const
{
    return suspects::judge(heldAgainst(context, now), now).treatment;
}

std::set<EndpointName> SuspectGuard::avoided(suspects::Treatment treatment) const
{
    return treatment == suspects::Treatment::Free ? m_runs.endangered() : m_runs.endpoints();
}

void SuspectGuard::enter(CallContext &context, const EndpointName &endpoint,
                         suspects::Treatment treatment)
{
    if (treatment == suspects::Treatment::Free) {
        return;
    }
    const bool isLikely = treatment == suspects::Treatment::Alone;
    const Instant now = MonotonicClock().now();
    context.suspectRun = m_runs.enter(countedKey(context, now), endpoint, isLikely);
    if (isLikely) {
        m_state.crashes().onRun(context.requestKey, now);
    }
    if (isLikely && context.bodyKey) {
        m_state.bodyCrashes().onRun(*context.bodyKey, now);
    }
}

void SuspectGuard::onBroken(CallContext &context, const fleet::Endpoint &endpoint)
{
    context.suspectRun.reset();
    // An endpoint that leaves ends by itself.
    if (context.isCallerGone || m_state.isLeaving(endpoint)) {
        return;
    }
    const Instant now = MonotonicClock().now();
    const suspects::EndpointProcess process{endpoint.name, endpoint.startedAt};
    m_state.crashes().onBroken(context.requestKey, process, now);
    if (context.bodyKey) {
        m_state.bodyCrashes().onBroken(*context.bodyKey, process, now);
        m_state.families().onBroken(context.requestKey, *context.bodyKey, now);
    }
    m_log.broken(context, endpoint, heldAgainst(context, now));
}

void SuspectGuard::onCompleted(CallContext &context)
{
    context.suspectRun.reset();
    if (!context.isSignedAnswer) {
        return;
    }
    const Instant now = MonotonicClock().now();
    bool hadEnds = m_state.crashes().onCompleted(context.requestKey, now);
    if (context.bodyKey) {
        hadEnds = m_state.bodyCrashes().onCompleted(*context.bodyKey, now) || hadEnds;
        m_state.families().onCompleted(context.requestKey, now);
    }
    if (hadEnds) {
        m_log.sound(context);
    }
}

void SuspectGuard::onError(CallContext &context, const fleet::Endpoint &endpoint,
                           const Error &error)
{
    context.suspectRun.reset();
    if (error.kind() == ErrorKind::Unavailable && error.notRun()) {
        const Instant now = MonotonicClock().now();
        m_state.crashes().onRefused({endpoint.name, endpoint.startedAt}, now);
        m_state.bodyCrashes().onRefused({endpoint.name, endpoint.startedAt}, now);
    } else if (error.kind() == ErrorKind::ConnectionLost && !error.notRun()) {
        onBroken(context, endpoint);
    }
}

void SuspectGuard::onAnswered(const CallContext &context, const fleet::Endpoint &endpoint)
{
    const std::size_t cleared =
        m_state.crashes().onAnswered({endpoint.name, endpoint.startedAt}, context.sentAt)
        + m_state.bodyCrashes().onAnswered({endpoint.name, endpoint.startedAt}, context.sentAt);
    if (cleared > 0) {
        m_log.alive(context, endpoint, cleared);
    }
}

} // namespace basilhall::gateway
