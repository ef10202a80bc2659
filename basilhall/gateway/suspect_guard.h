// Keeps requests that may crash endpoints apart from others, and records what happened to the
// endpoints that ran them.
//
//     SuspectGuard suspects(state, log);
//     const Result<suspects::Treatment> treatment = suspects.admit(context);
//     suspects.enter(context, endpoint, treatment.value());
//     suspects.onCompleted(context);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/gateway/call_context.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/internal/call_log.h"
#include "basilhall/gateway/internal/suspect_runs.h"
#include "basilhall/suspects/suspect_policy.h"

#include <set>

namespace basilhall::gateway
{

// Not thread-safe. The references must outlive it.
class SuspectGuard
{
public:
    SuspectGuard(FleetState &state, CallLog &log);

    // Refuses a request that is likely to crash the endpoint that runs it.
    Result<suspects::Treatment> admit(const CallContext &context) const;
    suspects::Treatment treatment(const CallContext &context, Instant now) const;
    // Endpoints that a request with this treatment should not be sent to if there are others.
    std::set<EndpointName> avoided(suspects::Treatment treatment) const;
    // The request is about to be sent.
    void enter(CallContext &context, const EndpointName &endpoint, suspects::Treatment treatment);
    // The connection broke after the request had been sent and before its answer was complete.
    void onBroken(CallContext &context, const fleet::Endpoint &endpoint);
    void onCompleted(CallContext &context);
    // The request could not be sent, or got no answer.
    void onError(CallContext &context, const fleet::Endpoint &endpoint, const Error &error);
    // The endpoint itself answered.
    void onAnswered(const CallContext &context, const fleet::Endpoint &endpoint);

private:
    // The key whose ends count against the request: that of its body, or that of its family.
    suspects::RequestKey countedKey(const CallContext &context, Instant now) const;
    suspects::Suspicion heldAgainst(const CallContext &context, Instant now) const;

    FleetState &m_state;
    CallLog &m_log;
    SuspectRuns m_runs;
};

} // namespace basilhall::gateway
