#include "basilhall/gateway/internal/call_log.h"

#include "basilhall/base/monotonic_clock.h"

namespace basilhall::gateway
{

using logging::Field;
using logging::PublicText;
using metrics::Metric;

namespace
{

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string_view routeName(const CallContext &context)
{
    return context.route == nullptr ? std::string_view() : std::string_view(context.route->name);
}

std::uint64_t versionOf(const CallContext &context)
{
    return context.policy ? context.policy->version() : 0;
}

} // namespace

CallLog::CallLog(logging::Log log, metrics::Registry &registry)
    : m_log(std::move(log))
    , m_registry(registry)
    , m_started(registry.counter(Metric::CallsStarted, "request"))
    , m_ok(registry.counter(Metric::CallsFinished, "ok"))
    , m_held(registry.counter(Metric::SuspectsHeld))
    , m_hostLate(registry.counter(Metric::HostLateRefusals))
    , m_notContinued(registry.counter(Metric::StreamsNotContinued))
    , m_sentToRemoved(registry.counter(Metric::SentToRemoved))
    , m_coldRefusals(registry.counter(Metric::ColdRefusals))
    , m_seconds(registry.quantile(Metric::CallSeconds, "request"))
    , m_firstSeconds(registry.quantile(Metric::FirstTokenSeconds))
{
}

void CallLog::started()
{
    m_started.add();
    ++m_running;
}

void CallLog::notRun(const CallContext &context, int status)
{
    m_log.info("Endpoint refused the request.", Field("call", context.call.id),
               Field("endpoint", context.endpoint), Field("status", status),
               Field("send", context.sends));
}

void CallLog::leaving(const CallContext &context, const fleet::Endpoint &endpoint)
{
    m_log.info("Endpoint announces that it leaves.", Field("call", context.call.id),
               Field("endpoint", endpoint.name), Field("started", endpoint.startedAt));
}

void CallLog::limitChanged(const CallContext &context, const fleet::Endpoint &endpoint,
                           std::optional<double> perSecond)
{
    if (perSecond) {
        m_log.info("Endpoint states a request limit.", Field("call", context.call.id),
                   Field("endpoint", endpoint.name), Field("started", endpoint.startedAt),
                   Field("per_second", *perSecond));
    } else {
        m_log.info("Endpoint states no request limit any more.", Field("call", context.call.id),
                   Field("endpoint", endpoint.name), Field("started", endpoint.startedAt));
    }
}

void CallLog::limitMalformed(const CallContext &context, const fleet::Endpoint &endpoint)
{
    m_log.warning("Endpoint states a request limit that is not a number.",
                  Field("call", context.call.id), Field("endpoint", endpoint.name));
}

void CallLog::limited(const CallContext &context, const placement::Placement::Choice &choice,
                      std::size_t ahead)
{
    if (choice.isCold) {
        m_coldRefusals.add();
    }
    const Field call("call", context.call.id);
    const Field program("program", context.call.program);
    const Field service("service", PublicText(context.work.service));
    const Field wait("wait", choice.wait);
    if (choice.isCold) {
        m_log.info("All endpoints are cold or have reached their request limits.", call, program,
                   service, wait, Field("ahead", ahead));
        return;
    }
    m_log.info("All endpoints have reached their request limits.", call, program, service, wait,
               Field("ahead", ahead));
}

void CallLog::limitedProgram(const CallContext &context, double perSecond)
{
    m_log.info("The first turn of a program is refused because of request limits.",
               Field("call", context.call.id), Field("program", context.call.program),
               Field("programs_per_second", perSecond));
}

void CallLog::overloaded(const CallContext &context, const placement::EngineLoad &load)
{
    m_log.info("The first turn of a program is refused because of overload.",
               Field("call", context.call.id), Field("program", context.call.program),
               Field("requests", load.requests), Field("slots", load.slots),
               Field("stretch", load.stretch));
}

void CallLog::hostLate(const CallContext &context, const hostload::HostLoad &load)
{
    m_hostLate.add();
    // The end of the request is logged too; a late host cannot afford both.
    m_log.debug("Refused a request because the host is late.", Field("call", context.call.id),
                Field("program", context.call.program), Field("loop_delay", load.loopDelay()));
}

void CallLog::broken(const CallContext &context, const fleet::Endpoint &endpoint,
                     const suspects::Suspicion &suspicion)
{
    m_log.info("Connection broke while the endpoint ran the request.",
               Field("call", context.call.id), Field("request", context.requestKey.value),
               Field("endpoint", endpoint.name), Field("started", endpoint.startedAt),
               Field("ends", suspicion.ends), Field("strict_ends", suspicion.strictEnds));
}

void CallLog::alive(const CallContext &context, const fleet::Endpoint &endpoint,
                    std::size_t cleared)
{
    m_log.info("Endpoint answers; broken runs there are not held against requests.",
               Field("call", context.call.id), Field("endpoint", endpoint.name),
               Field("started", endpoint.startedAt), Field("cleared", cleared));
}

void CallLog::sound(const CallContext &context)
{
    m_log.info("A request had a complete run; endpoints did not end because of it.",
               Field("call", context.call.id), Field("request", context.requestKey.value),
               Field("endpoint", context.endpoint));
}

void CallLog::held(const CallContext &context, const suspects::Suspicion &suspicion, Duration wait)
{
    m_held.add();
    m_log.warning("Refused a request because endpoints ended while they ran it.",
                  Field("call", context.call.id), Field("request", context.requestKey.value),
                  Field("ends", suspicion.ends), Field("strict_ends", suspicion.strictEnds),
                  Field("last_end", MonotonicClock().now() - suspicion.lastEnd),
                  Field("runs", context.runs), Field("wait", wait));
}

void CallLog::continues(const CallContext &context)
{
    const WallMillis age =
        context.origin ? MonotonicClock().wallMillis() - context.origin->sentAt : 0;
    m_log.info("A caller continues a stream.", Field("call", context.call.id),
               Field("began_as", context.call.continues),
               Field("service", PublicText(context.work.service)),
               Field("version", PublicText(context.work.version.value_or(""))),
               Field("known_by", PublicText(context.origin ? "record" : "only version")),
               Field("began_at", context.origin ? context.origin->endpoint : EndpointName()),
               Field("age_ms", age));
}

void CallLog::notContinued(const CallContext &context, const Error &error)
{
    m_notContinued.add();
    m_log.warning("Refused to continue a stream.", Field("call", context.call.id),
                  Field("began_as", context.call.continues),
                  Field("after_event", context.call.lastEvent.value_or(0)), Field("reason", error));
}

void CallLog::originUnproven(const CallContext &context, const fleet::Endpoint &endpoint)
{
    m_log.warning("The version that began a stream is unknown; the stream cannot be continued.",
                  Field("call", context.call.id), Field("endpoint", endpoint.name),
                  Field("started", endpoint.startedAt),
                  Field("version", PublicText(endpoint.version)));
}

void CallLog::processUnproven(const fleet::Endpoint &endpoint, std::optional<WallMillis> startedAt)
{
    m_log.warning("Endpoint does not state the registered start of its process.",
                  Field("endpoint", endpoint.name), Field("registered", endpoint.startedAt),
                  Field("stated", startedAt.value_or(0)),
                  Field("version", PublicText(endpoint.version)));
}

void CallLog::continued(const CallContext &context, const fleet::Endpoint &endpoint,
                        std::optional<Instant> listedAt)
{
    const Duration age = listedAt ? MonotonicClock().now() - *listedAt : Duration::max();
    m_log.info("Requests the rest of a stream.", Field("call", context.call.id),
               Field("began_as", context.call.continues),
               Field("after_event", context.lastEvent.value_or(0)),
               Field("endpoint", endpoint.name), Field("started", endpoint.startedAt),
               Field("version", PublicText(endpoint.version)), Field("list_age", age));
}

void CallLog::sentToRemoved(const CallContext &context, Duration removedFor,
                            std::optional<Instant> listedAt)
{
    m_sentToRemoved.add();
    m_log.info("Sends a request to an endpoint whose registration was removed.",
               Field("call", context.call.id), Field("endpoint", context.endpoint),
               Field("removed_for", removedFor),
               Field("list_age", context.sentAt - listedAt.value_or(context.sentAt)));
}

void CallLog::notBeforeStop(const CallContext &context, Duration left)
{
    m_log.info("Refused a request that may not end before the gateway stops.",
               Field("call", context.call.id), Field("route", PublicText(context.route->name)),
               Field("time_left", context.deadline - context.arrivedAt), Field("stops_in", left));
}

void CallLog::notCovered(const CallContext &context, const Error &error)
{
    m_log.warning("A turn ends before its spending is durable.", Field("call", context.call.id),
                  Field("program", context.call.program), Field("reason", error));
}

void CallLog::notSent(const CallContext &context, const fleet::SendDecision &decision)
{
    m_registry.counter(Metric::EvacuationSendsStopped).add();
    m_log.info("Did not send a request because the failure domain of its endpoint is evacuated.",
               Field("call", context.call.id), Field("endpoint", context.endpoint),
               Field("failure_domain", context.sentTo.failureDomain),
               Field("version", decision.revision),
               Field("age", decision.age.value_or(Duration::zero())));
}

void CallLog::failed(const CallContext &context, const Error &error)
{
    m_log.warning("Attempt failed.", Field("call", context.call.id),
                  Field("endpoint", context.endpoint), Field("send", context.sends),
                  Field("events", context.events), Field("reason", error));
}

void CallLog::finished(const CallContext &context, const Result<void> &outcome)
{
    --m_running;
    const Instant now = MonotonicClock().now();
    const Duration took = now - context.arrivedAt;
    if (outcome) {
        m_ok.add();
        m_seconds.observe(seconds(took));
        if (context.firstEventAt) {
            m_firstSeconds.observe(seconds(*context.firstEventAt - context.arrivedAt));
        }
        m_log.info(
            "Served.", Field("call", context.call.id), Field("program", context.call.program),
            Field("route", PublicText(routeName(context))), Field("endpoint", context.endpoint),
            Field("sends", context.sends), Field("events", context.events), Field("took", took),
            Field("first_event", context.firstEventAt.value_or(now) - context.arrivedAt),
            Field("budget", context.call.tokenBudget.value_or(0)),
            Field("policy", versionOf(context)));
        return;
    }
    m_registry.counter(Metric::CallsFinished, errorTraits(outcome.error().kind()).name).add();
    m_log.info(
        "Not served.", Field("call", context.call.id), Field("program", context.call.program),
        Field("route", PublicText(routeName(context))), Field("endpoint", context.endpoint),
        Field("sends", context.sends), Field("runs", context.runs), Field("events", context.events),
        Field("took", took), Field("caller_gone", context.isCallerGone),
        Field("budget", context.call.tokenBudget.value_or(0)), Field("policy", versionOf(context)),
        Field("not_run", outcome.error().notRun()), Field("reason", outcome.error()));
}

} // namespace basilhall::gateway
