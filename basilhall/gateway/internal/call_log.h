// Log lines and metrics of the requests that a gateway serves.
//
//     log.started();
//     log.failed(context, error);
//     log.finished(context, outcome);
#pragma once

#include "basilhall/base/result.h"
#include "basilhall/fleet/evacuations.h"
#include "basilhall/gateway/call_context.h"
#include "basilhall/hostload/host_load.h"
#include "basilhall/logging/log.h"
#include "basilhall/metrics/registry.h"
#include "basilhall/placement/placement.h"
#include "basilhall/placement/program_admission.h"
#include "basilhall/suspects/suspicion.h"

namespace basilhall::gateway
{

// Logs one line for each finished request and each attempt without an answer. Not thread-safe. The
// registry must outlive it.
class CallLog
{
public:
    CallLog(logging::Log log, metrics::Registry &registry);

    void started();
    // An endpoint stated that it has not run the request.
    void notRun(const CallContext &context, int status);
    // An endpoint announced for the first time that it leaves.
    void leaving(const CallContext &context, const fleet::Endpoint &endpoint);
    // The request limit that the endpoint states has changed, or ended.
    void limitChanged(const CallContext &context, const fleet::Endpoint &endpoint,
                      std::optional<double> perSecond);
    void limitMalformed(const CallContext &context, const fleet::Endpoint &endpoint);
    // All endpoints have reached their limits, and the request would wait for too long.
    void limited(const CallContext &context, const placement::Placement::Choice &choice,
                 std::size_t ahead);
    // The first turn of a program is refused because of the limits of endpoints, which can carry
    // `perSecond` programs.
    void limitedProgram(const CallContext &context, double perSecond);
    // The first turn of a program is refused.
    void overloaded(const CallContext &context, const placement::EngineLoad &load);
    // The request is refused because this host is late with its own work.
    void hostLate(const CallContext &context, const hostload::HostLoad &load);
    // The connection to the endpoint broke while it ran the request, so it may have ended.
    void broken(const CallContext &context, const fleet::Endpoint &endpoint,
                const suspects::Suspicion &suspicion);
    // The endpoint answered, so `cleared` broken runs did not end it.
    void alive(const CallContext &context, const fleet::Endpoint &endpoint, std::size_t cleared);
    // A request that was suspected had a complete run.
    void sound(const CallContext &context);
    // The request is refused because endpoints ended while they ran it.
    void held(const CallContext &context, const suspects::Suspicion &suspicion, Duration wait);
    // The rest of a stream may be requested: its origin is recorded, or there was one version only.
    void continues(const CallContext &context);
    // The version that began a stream is unknown, so the request for its rest is refused.
    void notContinued(const CallContext &context, const Error &error);
    // It is not known which version sent the first event of a stream.
    void originUnproven(const CallContext &context, const fleet::Endpoint &endpoint);
    // An endpoint that was asked for the start of its process did not state the registered one;
    // nullopt if it stated none.
    void processUnproven(const fleet::Endpoint &endpoint, std::optional<WallMillis> startedAt);
    // The rest of a stream is requested from an endpoint; the list of endpoints was current at
    // `listedAt`.
    void continued(const CallContext &context, const fleet::Endpoint &endpoint,
                   std::optional<Instant> listedAt);
    // The request is sent to an endpoint whose registration is known to be removed since
    // `removedFor`; the list of endpoints was current at `listedAt`.
    void sentToRemoved(const CallContext &context, Duration removedFor,
                       std::optional<Instant> listedAt);
    // Refused because the gateway stops after `left`.
    void notBeforeStop(const CallContext &context, Duration left);
    // A turn ends although its spending is not durable: the loss of this host would forget it.
    void notCovered(const CallContext &context, const Error &error);
    // The request was not sent because of an evacuation that began after its endpoint was chosen.
    void notSent(const CallContext &context, const fleet::SendDecision &decision);
    // An attempt failed; the request may have run.
    void failed(const CallContext &context, const Error &error);
    void finished(const CallContext &context, const Result<void> &outcome);
    std::uint64_t running() const { return m_running; }

private:
    logging::Log m_log;
    metrics::Registry &m_registry;
    metrics::Counter &m_started;
    metrics::Counter &m_ok;
    metrics::Counter &m_held;
    metrics::Counter &m_hostLate;
    metrics::Counter &m_notContinued;
    metrics::Counter &m_sentToRemoved;
    metrics::Counter &m_coldRefusals;
    metrics::Quantile &m_seconds;
    metrics::Quantile &m_firstSeconds;
    std::uint64_t m_running = 0;
};

} // namespace basilhall::gateway
