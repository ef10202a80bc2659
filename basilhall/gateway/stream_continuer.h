// Lets streams go on only at the version of the endpoints that began them: records where each
// stream begins, and restricts the requests for its rest.
//
//     StreamContinuer<Dialect> continuer(client, state, origins, log);
//     Result<void> ready = co_await continuer.prepare(context);
//     continuer.onFirstEvent(context);
//     Result<void> checked = co_await continuer.checkProcess(context);
#pragma once

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/base/result.h"
#include "basilhall/gateway/call_context.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/internal/call_log.h"
#include "basilhall/gateway/internal/route_choice.h"
#include "basilhall/gateway/process_prover.h"
#include "basilhall/gateway/stream_origins.h"
#include "basilhall/resumption/caller_deadlines.h"
#include "basilhall/resumption/continuation_policy.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <utility>

namespace basilhall::gateway
{

// Not thread-safe. The references must outlive it and its coroutines.
template<CallDialect Dialect>
class StreamContinuer
{
public:
    StreamContinuer(http::Client &client, FleetState &state, StreamOrigins &origins, CallLog &log)
        : m_client(client)
        , m_state(state)
        , m_origins(origins)
        , m_log(log)
        , m_prover(client, state, log)
    {
    }

    // Restricts the rest of a stream to the version that began it.
    boost::asio::awaitable<Result<void>> prepare(std::shared_ptr<CallContext> context)
    {
        const fleet::Route &route = *context->route;
        if (!context->call.lastEvent) {
            m_deadlines.onFirstAttempt(route.name, context->call.timeLeft);
            co_return success();
        }
        resumption::Continuation continuation = continuationOf(*context);
        if (continuation.isNamed) {
            continuation.origin = co_await m_origins.find(context->call.continues);
        } else {
            const Duration age =
                m_deadlines.maxStreamAge(route.name, route.timeout, context->call.timeLeft);
            continuation.onlyVersion = m_state.onlyVersion(
                continuation.service, age + kMaxListDelay, MonotonicClock().now());
        }
        const Result<resumption::StreamVersion> version = resumption::versionFor(continuation);
        if (!version) {
            m_log.notContinued(*context, version.error());
            co_return version.error();
        }
        context->origin = std::move(continuation.origin);
        context->work.service = version.value().service;
        context->work.version = version.value().version;
        m_log.continues(*context);
        co_return success();
    }

    // True unless events were forwarded that a process of unknown version may have sent.
    boost::asio::awaitable<bool> isVersionKnown(std::shared_ptr<CallContext> context)
    {
        if (context->events == 0 || context->isVersionProven) {
            co_return true;
        }
        co_return co_await m_prover.prove(context->sentTo, context->connectedAt);
    }

    // Records where the stream began, once it is known which process sent its first event.
    void onFirstEvent(const std::shared_ptr<CallContext> &context)
    {
        if (!context->route->isResumable) {
            return;
        }
        if (context->call.lastEvent) {
            if (context->origin) {
                context->origin->keptUntil = continuableUntil(*context);
                m_origins.add(*context->origin);
            }
            return;
        }
        context->work.version = context->sentTo.version;
        if (m_prover.isProven(context->sentTo, context->connectedAt)) {
            context->isVersionProven = true;
            recordOrigin(originOf(*context));
        } else {
            boost::asio::co_spawn(
                m_client.executor(),
                proveOrigin(context, context->sentTo, context->connectedAt, originOf(*context)),
                boost::asio::detached);
        }
    }

    // Checks that the process that is about to send the rest of a stream is the registered one,
    // before any of its events is forwarded. EndpointFailed names the endpoint otherwise.
    boost::asio::awaitable<Result<void>> checkProcess(std::shared_ptr<CallContext> context)
    {
        if (!context->lastEvent) {
            co_return success();
        }
        const bool isProven = co_await m_prover.prove(context->sentTo, context->connectedAt);
        if (!isProven) {
            co_return Error(ErrorKind::EndpointFailed,
                            "endpoint \"" + context->sentTo.name.value()
                                + "\" may have been replaced by another version");
        }
        context->isVersionProven = true;
        co_return success();
    }

private:
    // The endpoint and the connection may be those of an earlier run once the answer arrives.
    boost::asio::awaitable<void> proveOrigin(std::shared_ptr<CallContext> context,
                                             fleet::Endpoint endpoint, Instant connectedAt,
                                             resumption::StreamOrigin origin)
    {
        const bool isProven = co_await m_prover.prove(endpoint, connectedAt);
        if (isProven) {
            context->isVersionProven = true;
            recordOrigin(origin);
        } else {
            m_log.originUnproven(*context, endpoint);
        }
    }

    void recordOrigin(const resumption::StreamOrigin &origin)
    {
        if (!origin.attempt.isEmpty()) {
            m_origins.add(origin);
        }
    }

    http::Client &m_client;
    FleetState &m_state;
    StreamOrigins &m_origins;
    CallLog &m_log;
    ProcessProver<Dialect> m_prover;
    resumption::CallerDeadlines m_deadlines;
};

} // namespace basilhall::gateway
