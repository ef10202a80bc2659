// Serves the requests of callers: checks, limits, sends each to an endpoint and passes its answer
// on.
//
//     Forwarder<Dialect> forwarder(client, state, keeper, log, registry, random);
//     http::Server server(executor, listen, limits,
//                         [&](auto exchange) { return forwarder.serve(std::move(exchange)); });
#pragma once

#include "basilhall/base/monotonic_clock.h"
#include "basilhall/gateway/call_context.h"
#include "basilhall/gateway/call_dialect.h"
#include "basilhall/gateway/event_splitter.h"
#include "basilhall/gateway/fleet_state.h"
#include "basilhall/gateway/internal/call_log.h"
#include "basilhall/gateway/internal/route_choice.h"
#include "basilhall/gateway/refusal.h"
#include "basilhall/gateway/turn_keeper.h"
#include "basilhall/http/client.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <random>

namespace basilhall::gateway
{

// Not thread-safe: use from one executor. The references must outlive it.
template<CallDialect Dialect>
class Forwarder
{
public:
    // Asks the home of a program, see PeerMesh::askHome.
    using AskHome =
        std::function<boost::asio::awaitable<Result<turns::Admission>>(turns::TurnBudget)>;

    Forwarder(http::Client &client, FleetState &state, TurnKeeper &keeper, AskHome askHome,
              CallLog &log, std::mt19937_64 &random)
        : m_client(client)
        , m_state(state)
        , m_keeper(keeper)
        , m_askHome(std::move(askHome))
        , m_log(log)
        , m_random(random)
    {
    }

    boost::asio::awaitable<void> serve(std::shared_ptr<http::Exchange> exchange)
    {
        const auto context = std::make_shared<CallContext>();
        context->exchange = exchange;
        context->arrivedAt = MonotonicClock().now();
        m_log.started();
        Result<void> prepared = prepare(*context);
        if (prepared) {
            watchCaller(context);
            if (context->route->kind == fleet::CallKind::Stream) {
                prepared = co_await serveStream(context);
            } else {
                prepared = co_await serveWhole(context);
            }
        }
        if (!prepared && !context->hasBegun && !context->isCallerGone) {
            (void)co_await exchange->respond(refusal(prepared.error()));
        }
        m_log.finished(*context, prepared);
    }

private:
    using Stream = std::unique_ptr<http::ResponseStream>;

    // Decodes and checks the request, and takes it from the team's limit.
    Result<void> prepare(CallContext &context)
    {
        context.policy = m_state.policy();
        if (!context.policy) {
            return Error(ErrorKind::Unavailable, "the gateway has no configuration yet")
                .withNotRun()
                .withRetryAfter(kNoPolicyRetry);
        }
        BOOST_OUTCOME_TRY(context.call, Dialect::decodeCall(context.exchange->request()));
        BOOST_OUTCOME_TRY(resolveRoute(context));
        if (context.team != nullptr) {
            BOOST_OUTCOME_TRY(
                m_state.admit(context.team->name, beginsProgram(context), context.arrivedAt));
        }
        return success();
    }

    // True for the first turn of a program that no gateway has heard of.
    bool beginsProgram(const CallContext &context) const
    {
        return context.route->kind == fleet::CallKind::Stream && context.call.previousTurn.isEmpty()
            && !m_state.budgets().knows(context.call.program);
    }

    void watchCaller(const std::shared_ptr<CallContext> &context)
    {
        context->exchange->onClientGone([weak = std::weak_ptr<CallContext>(context)] {
            const auto alive = weak.lock();
            if (!alive) {
                return;
            }
            alive->isCallerGone = true;
            alive->cancellation->cancel();
            if (alive->stop) {
                alive->stop();
            }
        });
    }

    static Duration timeLeft(const CallContext &context)
    {
        return context.deadline - MonotonicClock().now();
    }

    Dispatch dispatchTo(const CallContext &context, const fleet::Endpoint &endpoint) const
    {
        Dispatch dispatch;
        dispatch.endpoint = endpoint;
        if (context.team != nullptr) {
            dispatch.team = context.team->name;
        }
        dispatch.timeLeft = timeLeft(context);
        if (context.route->kind == fleet::CallKind::Stream) {
            dispatch.priority = priorityOf(context);
        }
        dispatch.resumeAfter = context.lastEvent;
        return dispatch;
    }

    // Sends the request to endpoints until one answers with a header that is an answer. Errors with
    // notRun() say that no endpoint has run it or will.
    boost::asio::awaitable<Result<Stream>> open(std::shared_ptr<CallContext> context)
    {
        while (true) {
            const Instant now = MonotonicClock().now();
            if (context->isCallerGone) {
                co_return settle(*context, Error(ErrorKind::Cancelled, "the caller left"));
            }
            if (now >= context->deadline) {
                co_return settle(
                    *context,
                    Error(ErrorKind::DeadlineExceeded, "the time of the request is over"));
            }
            const fleet::Endpoint *chosen =
                m_state.placement().choose(context->work, context->tried, m_random(), now);
            if (chosen == nullptr) {
                co_return settle(*context, noEndpoint(*context));
            }
            const fleet::Endpoint endpoint = *chosen;
            auto answer = co_await sendTo(context, endpoint);
            if (answer) {
                co_return answer;
            }
            const bool mayRepeat = (answer.error().notRun() && context->sends < kMaxSends)
                || (fleet::isRepeatable(*context->route)
                    && context->runs < context->route->maxAttempts);
            if (!mayRepeat || context->isCallerGone) {
                co_return settle(*context, answer.error());
            }
        }
    }

    // An error counts as not run only if no attempt may have run.
    static Error settle(const CallContext &context, Error error)
    {
        if (context.runs > 0) {
            return Error(error.kind(), error.message());
        }
        return error.withNotRun();
    }

    boost::asio::awaitable<Result<Stream>> sendTo(std::shared_ptr<CallContext> context,
                                                  fleet::Endpoint endpoint)
    {
        context->endpoint = endpoint.name;
        ++context->sends;
        m_state.placement().onSent(endpoint.name, context->work);
        http::RequestOptions options;
        options.cancellation = context->cancellation;
        options.connectTimeout = kConnectTimeout;
        options.belongs = [id = context->call.id](const http::Headers &headers) {
            const AnswerFacts facts = Dialect::answerFacts(0, headers);
            return facts.call.isEmpty() || facts.call == id;
        };
        http::Request request = Dialect::endpointRequest(
            context->exchange->request(), dispatchTo(*context, endpoint), context->body);
        auto answer = co_await m_client.open(endpoint.address, std::move(request),
                                             timeLeft(*context), std::move(options));
        if (!answer) {
            m_state.placement().onFinished(endpoint.name, context->work);
            noteFailure(*context, endpoint, answer.error());
            co_return answer.error();
        }
        const AnswerFacts facts =
            Dialect::answerFacts(answer.value()->status(), answer.value()->headers());
        if (facts.isNotRun || facts.isOtherEndpoint) {
            m_state.placement().onFinished(endpoint.name, context->work);
            context->tried.insert(endpoint.name);
            if (facts.isOtherEndpoint) {
                m_state.placement().suspend(endpoint.name, MonotonicClock().now() + kStrangerPause);
            }
            m_log.notRun(*context, answer.value()->status());
            co_await drain(*answer.value());
            co_return Error(ErrorKind::Overloaded,
                            "endpoint \"" + endpoint.name.value() + "\" did not take the request")
                .withNotRun()
                .withRetryAfter(kRefusedRetry);
        }
        ++context->runs;
        if (!facts.isSigned && answer.value()->status() < kFirstFailure) {
            m_state.placement().onFinished(endpoint.name, context->work);
            context->tried.insert(endpoint.name);
            m_log.failed(*context, Error(ErrorKind::EndpointFailed, "the answer is not signed"));
            co_return Error(ErrorKind::EndpointFailed,
                            "endpoint \"" + endpoint.name.value()
                                + "\" gave an answer without signature");
        }
        co_return answer;
    }

    // Reads what is left of an answer nobody needs, so that its connection can be used again.
    static boost::asio::awaitable<void> drain(http::ResponseStream &stream)
    {
        while (true) {
            const auto part = co_await stream.read(kDrainTimeout);
            if (!part || !part.value()) {
                break;
            }
        }
    }

    void noteFailure(CallContext &context, const fleet::Endpoint &endpoint, const Error &error)
    {
        context.tried.insert(endpoint.name);
        if (error.notRun()) {
            m_state.placement().suspend(endpoint.name, MonotonicClock().now() + kUnreachablePause);
        } else {
            ++context.runs;
        }
        m_log.failed(context, error);
    }

    boost::asio::awaitable<Result<void>> serveWhole(std::shared_ptr<CallContext> context)
    {
        context->body = context->exchange->request().body;
        while (true) {
            auto answer = co_await open(context);
            if (!answer) {
                noteNotRun(*context, answer.error());
                co_return answer.error();
            }
            auto whole = co_await collect(context, *answer.value());
            m_state.placement().onFinished(context->endpoint, context->work);
            if (whole) {
                context->hasBegun = true;
                co_return co_await context->exchange->respond(std::move(whole).value());
            }
            context->tried.insert(context->endpoint);
            m_log.failed(*context, whole.error());
            if (!fleet::isRepeatable(*context->route) || context->isCallerGone
                || context->runs >= context->route->maxAttempts) {
                co_return whole.error();
            }
        }
    }

    void noteNotRun(const CallContext &context, const Error &error)
    {
        if (error.notRun() && context.team != nullptr) {
            m_state.giveBack(context.team->name, MonotonicClock().now());
        }
    }

    // Reads a whole answer within the deadline.
    static boost::asio::awaitable<Result<http::Response>>
    collect(std::shared_ptr<CallContext> context, http::ResponseStream &stream)
    {
        http::Response response;
        response.status = stream.status();
        response.headers = Dialect::callerHeaders(stream.headers());
        context->stop = [&stream] { stream.cancel(); };
        while (true) {
            const auto part = co_await stream.read(std::max(timeLeft(*context), Duration::zero()));
            if (!part || !part.value()) {
                context->stop = nullptr;
                if (!part) {
                    co_return part.error();
                }
                co_return response;
            }
            response.body += *part.value();
        }
    }

    boost::asio::awaitable<Result<void>> serveStream(std::shared_ptr<CallContext> context)
    {
        const Result<void> ready = co_await prepareTurn(context);
        if (!ready) {
            noteNotRun(*context, ready.error());
            co_return ready.error();
        }
        const Result<void> done = co_await runTurn(context);
        settleBudget(*context);
        if (!done && !context->hasBegun) {
            noteNotRun(*context, done.error());
        }
        if (!done && context->hasBegun) {
            // A broken answer must not look complete.
            context->exchange->abort();
        }
        co_return done;
    }

    // Builds the prompt of a kept turn and reserves its part of the program's budget.
    boost::asio::awaitable<Result<void>> prepareTurn(std::shared_ptr<CallContext> context)
    {
        const std::string &input = context->exchange->request().body;
        const bool needsState = context->route->keepsTurns || context->call.tokenBudget;
        if (needsState && !m_keeper.isLoaded()) {
            co_return Error(ErrorKind::Unavailable, "the gateway still reads what was kept")
                .withNotRun()
                .withRetryAfter(kLoadRetry);
        }
        if (!context->route->keepsTurns) {
            context->body = input;
        } else {
            if (!m_keeper.isKeeping()) {
                co_return Error(ErrorKind::StoreUnavailable, "turns cannot be kept now")
                    .withNotRun()
                    .withRetryAfter(kStoreRetry);
            }
            auto prompt =
                co_await m_keeper.prompt(context->call.previousTurn, teamOf(*context), input);
            if (!prompt) {
                co_return prompt.error();
            }
            context->body = std::move(prompt).value();
        }
        co_return co_await reserveBudget(context);
    }

    boost::asio::awaitable<Result<void>> reserveBudget(std::shared_ptr<CallContext> context)
    {
        const Call &call = context->call;
        if (!call.tokenBudget || call.program.isEmpty()) {
            co_return success();
        }
        turns::TurnBudget turn;
        turn.program = call.program;
        turn.team = teamOf(*context);
        turn.budget = *call.tokenBudget;
        turn.maxTokens = call.mostOutputTokens;
        for (std::uint32_t round = 0; round < kAdmissionRounds; ++round) {
            turns::Admission admission = m_state.budgets().admit(turn, MonotonicClock().now());
            if (admission == turns::Admission::Admitted) {
                m_keeper.coverSoon(call.program);
            }
            if (admission == turns::Admission::Elsewhere
                || admission == turns::Admission::Orphaned) {
                const auto asked = co_await m_askHome(turn);
                if (!asked) {
                    break;
                }
                admission = asked.value();
                if (admission == turns::Admission::Admitted) {
                    m_state.budgets().onGranted(turn, MonotonicClock().now());
                }
            }
            if (admission == turns::Admission::Admitted) {
                context->hasReservation = true;
                co_return success();
            }
            if (admission == turns::Admission::Exhausted) {
                co_return Error(ErrorKind::BudgetExceeded,
                                "program \"" + call.program.value() + "\" has spent its budget")
                    .withNotRun();
            }
            if (admission == turns::Admission::NeedsRecord) {
                if (!m_keeper.isKeeping()) {
                    break;
                }
                const Result<void> covered = co_await m_keeper.cover(call.program, kCoverTimeout);
                if (!covered) {
                    break;
                }
            }
        }
        co_return Error(ErrorKind::StoreUnavailable, "the program's budget cannot be checked now")
            .withNotRun()
            .withRetryAfter(kStoreRetry);
    }

    void settleBudget(const CallContext &context)
    {
        if (context.hasReservation) {
            m_state.budgets().settle(context.call.program, context.call.mostOutputTokens,
                                     tokensOf(context), MonotonicClock().now());
        }
    }

    boost::asio::awaitable<Result<void>> runTurn(std::shared_ptr<CallContext> context)
    {
        context->lastEvent = context->call.lastEvent;
        while (true) {
            auto answer = co_await open(context);
            if (!answer) {
                co_return answer.error();
            }
            const EndpointName endpoint = context->endpoint;
            const Result<void> passed = co_await passOn(context, *answer.value());
            answer.value().reset();
            m_state.placement().onFinished(endpoint, context->work);
            if (passed) {
                co_return co_await endTurn(context);
            }
            context->tried.insert(endpoint);
            m_log.failed(*context, passed.error());
            if (!m_state.hasEndpoint(endpoint)) {
                // An endpoint that has ended does not count.
                --context->runs;
            }
            if (!context->route->isResumable || context->isCallerGone
                || context->runs >= context->route->maxAttempts) {
                co_return passed.error();
            }
        }
    }

    // Passes the events of one run on, whole ones only.
    boost::asio::awaitable<Result<void>> passOn(std::shared_ptr<CallContext> context,
                                                http::ResponseStream &stream)
    {
        if (stream.status() != kOk) {
            co_return co_await passFailure(context, stream);
        }
        EventSplitter splitter;
        context->stop = [&stream] { stream.cancel(); };
        while (true) {
            const auto part = co_await stream.read(std::max(timeLeft(*context), Duration::zero()));
            if (!part) {
                context->stop = nullptr;
                co_return part.error();
            }
            if (!part.value()) {
                context->stop = nullptr;
                break;
            }
            splitter.feed(*part.value());
            const Result<void> written = co_await writeEvents(context, splitter, stream);
            if (!written) {
                context->stop = nullptr;
                co_return written.error();
            }
        }
        if (splitter.hasRest()) {
            co_return Error(ErrorKind::EndpointFailed, "the stream ended within an event");
        }
        if (!context->hasBegun) {
            co_return co_await begin(context, stream);
        }
        co_return success();
    }

    boost::asio::awaitable<Result<void>> begin(std::shared_ptr<CallContext> context,
                                               http::ResponseStream &stream)
    {
        context->hasBegun = true;
        co_return co_await context->exchange->beginStream(stream.status(),
                                                          Dialect::callerHeaders(stream.headers()));
    }

    boost::asio::awaitable<Result<void>> writeEvents(std::shared_ptr<CallContext> context,
                                                     EventSplitter &splitter,
                                                     http::ResponseStream &stream)
    {
        std::string text;
        while (auto event = splitter.next()) {
            if (event->id && context->lastEvent && *event->id <= *context->lastEvent) {
                continue;
            }
            text += event->text;
            ++context->events;
            if (event->id) {
                context->lastEvent = event->id;
            }
            if (context->route->keepsTurns) {
                context->output += event->data;
            }
        }
        if (text.empty()) {
            co_return success();
        }
        if (!context->hasBegun) {
            const Result<void> begun = co_await begin(context, stream);
            if (!begun) {
                co_return begun;
            }
        }
        if (!context->firstEventAt) {
            context->firstEventAt = MonotonicClock().now();
        }
        co_return co_await context->exchange->write(std::move(text));
    }

    // An answer that is no stream: the endpoint's own failure.
    boost::asio::awaitable<Result<void>> passFailure(std::shared_ptr<CallContext> context,
                                                     http::ResponseStream &stream)
    {
        if (context->hasBegun) {
            co_return Error(ErrorKind::EndpointFailed,
                            "the endpoint does not go on with the stream");
        }
        auto whole = co_await collect(context, stream);
        if (!whole) {
            co_return whole.error();
        }
        context->hasBegun = true;
        context->isFailureAnswer = true;
        co_return co_await context->exchange->respond(std::move(whole).value());
    }

    // Makes a kept turn durable before its end is told.
    boost::asio::awaitable<Result<void>> endTurn(std::shared_ptr<CallContext> context)
    {
        if (context->isFailureAnswer) {
            co_return success();
        }
        settleBudget(*context);
        context->hasReservation = false;
        if (context->route->keepsTurns) {
            turns::KeptTurn turn;
            turn.id = turns::TurnId(context->call.id.value());
            turn.team = teamOf(*context);
            turn.previous = context->call.previousTurn;
            turn.input = context->exchange->request().body;
            turn.output = std::move(context->output);
            turn.keptUntil = MonotonicClock().wallMillis() + keptMillis(*context->route);
            const Duration left = std::max(timeLeft(*context), Duration::zero());
            const Result<void> kept = co_await m_keeper.keep(std::move(turn), left);
            if (!kept) {
                co_return kept;
            }
        }
        co_return co_await context->exchange->endStream();
    }

    http::Client &m_client;
    FleetState &m_state;
    TurnKeeper &m_keeper;
    AskHome m_askHome;
    CallLog &m_log;
    std::mt19937_64 &m_random;
};

} // namespace basilhall::gateway
